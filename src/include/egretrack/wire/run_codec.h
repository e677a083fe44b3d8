#ifndef EGRETRACK_WIRE_RUN_CODEC_H_
#define EGRETRACK_WIRE_RUN_CODEC_H_

#include <cstddef>
#include <span>
#include <string>

#include "egretrack/base/result.h"
#include "egretrack/wire/run_messages.h"

namespace egretrack::wire {

std::string EncodeFrame(const agent_run_frame& frame);
std::string EncodeFrame(const entry_run_frame& frame);

// Errors: errc::kParseFailed for malformed bytes, a missing field or a time out
// of range.
result<agent_run_frame> DecodeAgentRunFrame(std::span<const std::byte> bytes);
result<entry_run_frame> DecodeEntryRunFrame(std::span<const std::byte> bytes);

}  // namespace egretrack::wire

#endif  // EGRETRACK_WIRE_RUN_CODEC_H_
