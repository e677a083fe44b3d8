#ifndef EGRETRACK_SCHEDULER_LINK_SELECTION_H_
#define EGRETRACK_SCHEDULER_LINK_SELECTION_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

// Chooses the entries that an agent keeps links to. Load pattern: hundreds of
// agents and dozens of entries. With a link between each pair, heartbeats alone
// use up the processor time of a small entry.
namespace egretrack::scheduler {

struct link_candidate {
  std::uint64_t weight = 0;  // Rendezvous weight of the entry for this agent.
  bool responsive = true;    // False after several connections without a reply.
};

// Marks candidates in the order of their weights until `max_links` responsive
// ones are marked. Unresponsive candidates of higher weight are marked as well,
// so that an entry that restarts gets back the agents that it had.
std::vector<bool> SelectLinks(std::span<const link_candidate> candidates,
                              std::size_t max_links);

}  // namespace egretrack::scheduler

#endif  // EGRETRACK_SCHEDULER_LINK_SELECTION_H_
