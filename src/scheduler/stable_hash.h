#ifndef EGRETRACK_SCHEDULER_STABLE_HASH_H_
#define EGRETRACK_SCHEDULER_STABLE_HASH_H_

#include <cstdint>
#include <string_view>

namespace egretrack::scheduler {

// FNV-1a is the same in every process and release, unlike std::hash.
inline constexpr std::uint64_t kStableHashStart = 0xcbf29ce484222325;

// Returns `hash` extended by one field.
inline std::uint64_t HashField(std::uint64_t hash, std::string_view text) {
  constexpr std::uint64_t kFnvPrime = 0x100000001b3;
  for (const char c : text) {
    hash ^= static_cast<unsigned char>(c);
    hash *= kFnvPrime;
  }
  // The separator makes ("ab", "c") and ("a", "bc") differ.
  return (hash ^ 0xffU) * kFnvPrime;
}

}  // namespace egretrack::scheduler

#endif  // EGRETRACK_SCHEDULER_STABLE_HASH_H_
