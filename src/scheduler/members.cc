#include "egretrack/scheduler/members.h"

#include <algorithm>
#include <string_view>
#include <tuple>

namespace egretrack::scheduler {
namespace {

// FNV-1a: the same in every process and release, unlike std::hash.
constexpr std::uint64_t kOffsetBasis = 0xcbf29ce484222325;
constexpr std::uint64_t kPrime = 0x100000001b3;

std::uint64_t Mix(std::uint64_t hash, std::string_view text) {
  for (const char c : text) {
    hash ^= static_cast<unsigned char>(c);
    hash *= kPrime;
  }
  // A separator keeps ("ab", "c") apart from ("a", "bc").
  return (hash ^ 0xffU) * kPrime;
}

}  // namespace

void Normalize(std::vector<wire::entry_member>& members) {
  std::ranges::sort(members, {}, [](const wire::entry_member& member) {
    return std::tie(member.id, member.address);
  });
  members.erase(std::unique(members.begin(), members.end()), members.end());
}

std::uint64_t HashMembers(std::span<const wire::entry_member> members) {
  std::uint64_t hash = kOffsetBasis;
  for (const wire::entry_member& member : members)
    hash = Mix(Mix(hash, member.id), member.address);
  return hash;
}

// The last step spreads names that differ in their last characters only.
std::uint64_t RendezvousWeight(std::string_view entry, std::string_view agent) {
  std::uint64_t weight = Mix(Mix(kOffsetBasis, entry), agent);
  weight ^= weight >> 32U;
  weight *= kPrime;
  return weight ^ (weight >> 29U);
}

}  // namespace egretrack::scheduler
