#ifndef EGRETRACK_ENTRY_TEXT_ENCODING_H_
#define EGRETRACK_ENTRY_TEXT_ENCODING_H_

#include <string>
#include <string_view>

// Encodings of task results in JSON answers.
namespace egretrack::entry {

// True for well-formed UTF-8 (RFC 3629).
bool IsUtf8(std::string_view bytes);

// Base64 of RFC 4648, with padding.
std::string EncodeBase64(std::string_view bytes);

}  // namespace egretrack::entry

#endif  // EGRETRACK_ENTRY_TEXT_ENCODING_H_
