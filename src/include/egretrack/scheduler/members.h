#ifndef EGRETRACK_SCHEDULER_MEMBERS_H_
#define EGRETRACK_SCHEDULER_MEMBERS_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "egretrack/wire/run_messages.h"

namespace egretrack::scheduler {

// Number of entries that an agent keeps links to.
inline constexpr std::size_t kLinkedEntriesPerAgent = 8;

// Sorts a list of entries by id and address, and removes duplicates.
void Normalize(std::vector<wire::entry_member>& members);

// Hash of a normalized list; the same in every process.
std::uint64_t HashMembers(std::span<const wire::entry_member> members);

// Weight of an agent for an entry in rendezvous hashing. Each entry prefers the
// agents with the highest weights, which spreads agents evenly over entries.
std::uint64_t RendezvousWeight(std::string_view entry, std::string_view agent);

}  // namespace egretrack::scheduler

#endif  // EGRETRACK_SCHEDULER_MEMBERS_H_
