#include "egretrack/base/ids.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <optional>
#include <random>

#include <boost/container_hash/hash.hpp>

namespace egretrack {
namespace {

constexpr std::size_t kMaxNameLength = 64;
constexpr std::size_t kNumberDigits = 16;
constexpr std::size_t kCreatedDigits = 12;

// Removes the part of `text` up to and including the next dot, and returns it
// without the dot.
std::string_view TakePart(std::string_view& text) {
  const std::size_t dot = text.find('.');
  const std::string_view part = text.substr(0, dot);
  text.remove_prefix(dot == std::string_view::npos ? text.size() : dot + 1);
  return part;
}

std::optional<std::uint64_t> ParseHex(std::string_view digits,
                                      std::size_t length) {
  if (digits.size() != length)
    return std::nullopt;
  // from_chars also accepts upper case, but an id must have only one spelling.
  if (std::any_of(digits.begin(), digits.end(),
                  [](char c) { return c >= 'A' && c <= 'F'; })) {
    return std::nullopt;
  }
  std::uint64_t value = 0;
  const char* end = digits.data() + digits.size();
  const auto [stop, code] = std::from_chars(digits.data(), end, value, 16);
  if (code != std::errc() || stop != end)
    return std::nullopt;
  return value;
}

}  // namespace

std::uint64_t RandomNumber() {
  thread_local std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

incarnation NewIncarnation() {
  return incarnation{RandomNumber()};
}

bool IsValidName(std::string_view name) {
  const auto allowed = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
  };
  return !name.empty() && name.size() <= kMaxNameLength &&
         std::all_of(name.begin(), name.end(), allowed);
}

std::string job_id::ToString() const {
  std::array<char, 64> digits{};
  const int length =
      std::snprintf(digits.data(), digits.size(), ".%016llx.%012llx.%016llx",
                    static_cast<unsigned long long>(home),
                    static_cast<unsigned long long>(created_ms),
                    static_cast<unsigned long long>(random));
  return entry + std::string(digits.data(), static_cast<std::size_t>(length));
}

result<job_id> job_id::Parse(std::string_view text) {
  std::string_view rest = text;
  const std::string_view entry = TakePart(rest);
  const auto home = ParseHex(TakePart(rest), kNumberDigits);
  const auto created = ParseHex(TakePart(rest), kCreatedDigits);
  const auto random = ParseHex(rest, kNumberDigits);
  if (!IsValidName(entry) || !home || !created || !random)
    return MakeError(errc::kParseFailed, "job id");
  return job_id{std::string(entry), incarnation{*home}, *created, *random};
}

}  // namespace egretrack

std::size_t std::hash<egretrack::job_id>::operator()(
    const egretrack::job_id& id) const noexcept {
  std::size_t seed = std::hash<std::string>()(id.entry);
  boost::hash_combine(seed, static_cast<std::uint64_t>(id.home));
  boost::hash_combine(seed, id.created_ms);
  boost::hash_combine(seed, id.random);
  return seed;
}
