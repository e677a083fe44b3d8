#include "entry/text_encoding.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace egretrack::entry {
namespace {

constexpr std::string_view kBase64Digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

// A row of the table of well-formed byte sequences: the range of the first
// byte, the length, and the range of the second byte, which excludes overlong
// forms, surrogates and code points above U+10FFFF.
struct utf8_form {
  std::uint8_t first_low;
  std::uint8_t first_high;
  std::size_t length;
  std::uint8_t second_low;
  std::uint8_t second_high;
};

constexpr std::array kUtf8Forms = {
    utf8_form{0x00, 0x7f, 1, 0x80, 0xbf}, utf8_form{0xc2, 0xdf, 2, 0x80, 0xbf},
    utf8_form{0xe0, 0xe0, 3, 0xa0, 0xbf}, utf8_form{0xe1, 0xec, 3, 0x80, 0xbf},
    utf8_form{0xed, 0xed, 3, 0x80, 0x9f}, utf8_form{0xee, 0xef, 3, 0x80, 0xbf},
    utf8_form{0xf0, 0xf0, 4, 0x90, 0xbf}, utf8_form{0xf1, 0xf3, 4, 0x80, 0xbf},
    utf8_form{0xf4, 0xf4, 4, 0x80, 0x8f},
};

bool IsInRange(char c, std::uint8_t low, std::uint8_t high) {
  const auto byte = static_cast<std::uint8_t>(c);
  return byte >= low && byte <= high;
}

// Length in bytes of the code point at the start of `bytes`; 0 when it is not
// well-formed.
std::size_t CodePointLength(std::string_view bytes) {
  for (const utf8_form& form : kUtf8Forms) {
    if (!IsInRange(bytes[0], form.first_low, form.first_high))
      continue;
    if (bytes.size() < form.length)
      return 0;
    if (form.length > 1 &&
        !IsInRange(bytes[1], form.second_low, form.second_high))
      return 0;
    for (std::size_t i = 2; i < form.length; ++i) {
      if (!IsInRange(bytes[i], 0x80, 0xbf))
        return 0;
    }
    return form.length;
  }
  return 0;
}

}  // namespace

bool IsUtf8(std::string_view bytes) {
  while (!bytes.empty()) {
    const std::size_t length = CodePointLength(bytes);
    if (length == 0)
      return false;
    bytes.remove_prefix(length);
  }
  return true;
}

std::string EncodeBase64(std::string_view bytes) {
  std::string text;
  text.reserve((bytes.size() + 2) / 3 * 4);
  for (std::size_t offset = 0; offset < bytes.size(); offset += 3) {
    const std::string_view group = bytes.substr(offset, 3);
    std::uint32_t bits = 0;
    for (std::size_t i = 0; i < 3; ++i) {
      const auto byte =
          i < group.size() ? static_cast<std::uint8_t>(group[i]) : 0U;
      bits = (bits << 8U) | byte;
    }
    for (std::size_t i = 0; i < 4; ++i) {
      const std::uint32_t digit = (bits >> (18U - 6U * i)) & 63U;
      text += i <= group.size() ? kBase64Digits[digit] : '=';
    }
  }
  return text;
}

}  // namespace egretrack::entry
