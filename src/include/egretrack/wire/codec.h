#ifndef EGRETRACK_WIRE_CODEC_H_
#define EGRETRACK_WIRE_CODEC_H_

#include <cstddef>
#include <span>
#include <string>

#include "egretrack/base/result.h"
#include "egretrack/wire/messages.h"

namespace egretrack::wire {

// Decoding rejects larger frames.
inline constexpr std::size_t kMaxFrameBytes = 64U << 20U;

std::string EncodeAgentFrame(connection_number connection,
                             std::span<const agent_message> messages);
std::string EncodeEntryFrame(connection_number connection,
                             std::span<const entry_message> messages);

// Errors: errc::kParseFailed for malformed bytes, a missing field or a value
// out of range.
result<agent_frame> DecodeAgentFrame(std::span<const std::byte> bytes);
result<entry_frame> DecodeEntryFrame(std::span<const std::byte> bytes);

}  // namespace egretrack::wire

#endif  // EGRETRACK_WIRE_CODEC_H_
