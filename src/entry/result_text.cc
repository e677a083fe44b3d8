#include "entry/result_text.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace egretrack::entry {
namespace {

constexpr std::string_view kBase64Digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

// A form of a sequence: the range of its first byte, its length, and the range
// of its second byte, which excludes overlong forms, surrogates and values
// past U+10FFFF.
struct utf8_form {
  std::uint8_t first_low;
  std::uint8_t first_high;
  std::size_t length;
  std::uint8_t second_low;
  std::uint8_t second_high;
};

constexpr std::array kForms = {
    utf8_form{0x00, 0x7f, 1, 0x80, 0xbf}, utf8_form{0xc2, 0xdf, 2, 0x80, 0xbf},
    utf8_form{0xe0, 0xe0, 3, 0xa0, 0xbf}, utf8_form{0xe1, 0xec, 3, 0x80, 0xbf},
    utf8_form{0xed, 0xed, 3, 0x80, 0x9f}, utf8_form{0xee, 0xef, 3, 0x80, 0xbf},
    utf8_form{0xf0, 0xf0, 4, 0x90, 0xbf}, utf8_form{0xf1, 0xf3, 4, 0x80, 0xbf},
    utf8_form{0xf4, 0xf4, 4, 0x80, 0x8f},
};

bool InRange(char c, std::uint8_t low, std::uint8_t high) {
  const auto byte = static_cast<std::uint8_t>(c);
  return byte >= low && byte <= high;
}

// Length of the sequence at the begin of `bytes`; 0 when it is not valid.
std::size_t SequenceLength(std::string_view bytes) {
  for (const utf8_form& form : kForms) {
    if (!InRange(bytes[0], form.first_low, form.first_high))
      continue;
    if (bytes.size() < form.length)
      return 0;
    if (form.length > 1 &&
        !InRange(bytes[1], form.second_low, form.second_high))
      return 0;
    for (std::size_t i = 2; i < form.length; ++i) {
      if (!InRange(bytes[i], 0x80, 0xbf))
        return 0;
    }
    return form.length;
  }
  return 0;
}

}  // namespace

bool IsUtf8(std::string_view bytes) {
  while (!bytes.empty()) {
    const std::size_t length = SequenceLength(bytes);
    if (length == 0)
      return false;
    bytes.remove_prefix(length);
  }
  return true;
}

std::string EncodeBase64(std::string_view bytes) {
  std::string text;
  text.reserve((bytes.size() + 2) / 3 * 4);
  for (std::size_t at = 0; at < bytes.size(); at += 3) {
    const std::string_view group = bytes.substr(at, 3);
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
