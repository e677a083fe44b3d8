#include "egretrack/net/percent.h"

#include <charconv>

namespace egretrack::net {
namespace {

constexpr std::string_view kUnreserved =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
constexpr std::string_view kHexDigits = "0123456789ABCDEF";
constexpr std::size_t kEscapeLength = 3;

// Decodes the escape "%XY" at `position`. Returns -1 if it is invalid.
int DecodeEscape(std::string_view text, std::size_t position) {
  if (position + kEscapeLength > text.size())
    return -1;
  const char* const first = text.data() + position + 1;
  const char* const last = first + 2;
  unsigned value = 0;
  const auto parsed = std::from_chars(first, last, value, 16);
  return parsed.ptr == last ? static_cast<int>(value) : -1;
}

}  // namespace

std::string PercentEncode(std::string_view text) {
  std::string encoded;
  for (const char c : text) {
    if (kUnreserved.find(c) != std::string_view::npos) {
      encoded += c;
      continue;
    }
    const auto byte = static_cast<unsigned char>(c);
    encoded += '%';
    encoded += kHexDigits[byte >> 4U];
    encoded += kHexDigits[byte & 15U];
  }
  return encoded;
}

std::string PercentDecode(std::string_view text) {
  std::string decoded;
  for (std::size_t position = 0; position < text.size(); ++position) {
    const int byte = text[position] == '%' ? DecodeEscape(text, position) : -1;
    if (byte < 0) {
      decoded += text[position];
      continue;
    }
    decoded += static_cast<char>(byte);
    position += kEscapeLength - 1;
  }
  return decoded;
}

}  // namespace egretrack::net
