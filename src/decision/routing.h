#ifndef EGRETRACK_DECISION_ROUTING_H_
#define EGRETRACK_DECISION_ROUTING_H_

#include <cstdint>
#include <memory>
#include <span>

#include "decision/entry_agent.h"

namespace egretrack::decision {

// Chooses the agent for the next task.
class routing_strategy {
 public:
  virtual ~routing_strategy() = default;

  // True when the strategy lets this entry send one more task to the agent.
  virtual bool MaySend(const entry_agent& agent) const = 0;
  // One of `candidates`, which is not empty and holds agents that may be sent
  // to.
  virtual entry_agent* Choose(std::span<entry_agent* const> candidates) = 0;
  // False: tasks are pushed, and the agents queue them.
  virtual bool uses_credits() const = 0;
};

std::unique_ptr<routing_strategy> MakeRouting(routing_policy policy,
                                              std::uint64_t seed);

}  // namespace egretrack::decision

#endif  // EGRETRACK_DECISION_ROUTING_H_
