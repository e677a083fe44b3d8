#include "entry/key_rows.h"

#include <algorithm>
#include <charconv>

#include "egretrack/base/ids.h"

namespace egretrack::entry {
namespace {

constexpr std::size_t kMaxKeyLength = 255;
constexpr std::size_t kTimeDigits = 20;

bool IsVisible(char c) {
  return c > ' ' && c <= '~';
}

}  // namespace

bool IsValidKey(std::string_view key) {
  return !key.empty() && key.size() <= kMaxKeyLength &&
         std::ranges::all_of(key, IsVisible);
}

std::string MakeIndexKey(wall_time created) {
  const std::string digits = std::to_string(created.time_since_epoch().count());
  // The random suffix keeps the index keys of entries that write in the same
  // microsecond distinct.
  return std::string(kTimeDigits - digits.size(), '0') + digits + "." +
         std::to_string(RandomNumber());
}

std::optional<wall_time> ParseCreationTime(std::string_view index_key) {
  if (index_key.size() <= kTimeDigits)
    return std::nullopt;
  std::int64_t count = 0;
  const char* const last = index_key.data() + kTimeDigits;
  const auto parsed = std::from_chars(index_key.data(), last, count);
  if (parsed.ec != std::errc() || parsed.ptr != last)
    return std::nullopt;
  return wall_time(microseconds(count));
}

std::string EncodeKeyList(std::span<const std::string> keys) {
  std::string text;
  for (const std::string& key : keys)
    text.append(key).append("\n");
  return text;
}

std::vector<std::string> DecodeKeyList(std::string_view text) {
  std::vector<std::string> keys;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find('\n'), text.size());
    keys.emplace_back(text.substr(0, end));
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return keys;
}

}  // namespace egretrack::entry
