#include "egretrack/scheduler/members.h"

#include <algorithm>
#include <string_view>
#include <tuple>

#include "scheduler/stable_hash.h"

namespace egretrack::scheduler {

void Normalize(std::vector<wire::entry_member>& members) {
  std::ranges::sort(members, {}, [](const wire::entry_member& member) {
    return std::tie(member.id, member.address);
  });
  members.erase(std::unique(members.begin(), members.end()), members.end());
}

std::uint64_t HashMembers(std::span<const wire::entry_member> members) {
  std::uint64_t hash = kStableHashStart;
  for (const wire::entry_member& member : members)
    hash = HashField(HashField(hash, member.id), member.address);
  return hash;
}

// The finalizer of MurmurHash3 spreads names that differ only in their last
// characters, which FNV-1a alone does not.
std::uint64_t RendezvousWeight(std::string_view entry, std::string_view agent) {
  std::uint64_t weight = HashField(HashField(kStableHashStart, entry), agent);
  weight ^= weight >> 33U;
  weight *= 0xff51afd7ed558ccdU;
  weight ^= weight >> 33U;
  weight *= 0xc4ceb9fe1a85ec53U;
  return weight ^ (weight >> 33U);
}

}  // namespace egretrack::scheduler
