#ifndef EGRETRACK_DECISION_ROUTING_H_
#define EGRETRACK_DECISION_ROUTING_H_

#include <cstdint>
#include <memory>
#include <span>

#include "decision/entry_agent.h"

namespace egretrack::decision {

// Selects the agent for the next task.
class routing_strategy {
 public:
  virtual ~routing_strategy() = default;

  // True if this entry may send one more task to the agent.
  virtual bool MaySend(const entry_agent& agent) const = 0;
  // Returns one of `candidates`, for each of which MaySend is true.
  // `candidates` is not empty.
  virtual entry_agent* Choose(std::span<entry_agent* const> candidates) = 0;
  // False if tasks are pushed without credits and the agents queue them.
  virtual bool uses_credits() const = 0;
};

std::unique_ptr<routing_strategy> MakeRouting(routing_policy policy,
                                              std::uint64_t seed);

}  // namespace egretrack::decision

#endif  // EGRETRACK_DECISION_ROUTING_H_
