#ifndef EGRETRACK_DECISION_AGENT_MEMBERSHIP_H_
#define EGRETRACK_DECISION_AGENT_MEMBERSHIP_H_

#include <cstdint>
#include <memory>

namespace egretrack::decision {

// In the order of the states of the machine in agent_membership.cc.
enum class agent_phase : std::uint8_t {
  kAbsent,   // No connection yet.
  kServing,  // Takes new work.
  kSilent,   // Not heard for the silence bound.
  kDraining,
};

enum class membership_event : std::uint8_t { kAlive, kTimeout, kDrain };

// Membership of an agent as one entry sees it.
class agent_membership {
 public:
  agent_membership();
  ~agent_membership();

  // False, without a change, when the phase does not allow the signal.
  bool Apply(membership_event signal);

  agent_phase phase() const;
  // True when messages may reach the agent.
  bool reachable() const {
    return phase() == agent_phase::kServing ||
           phase() == agent_phase::kDraining;
  }

 private:
  struct machine;
  std::unique_ptr<machine> machine_;
};

}  // namespace egretrack::decision

#endif  // EGRETRACK_DECISION_AGENT_MEMBERSHIP_H_
