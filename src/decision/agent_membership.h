#ifndef EGRETRACK_DECISION_AGENT_MEMBERSHIP_H_
#define EGRETRACK_DECISION_AGENT_MEMBERSHIP_H_

#include <cstdint>
#include <memory>

namespace egretrack::decision {

// The order must match the state numbers of the machine in agent_membership.cc.
enum class agent_phase : std::uint8_t {
  kAbsent,   // No connection yet.
  kServing,  // Accepts new work.
  kSilent,   // No message arrived within the silence timeout.
  kDraining,
};

// kAlive: a message of an agent that is not draining arrived. kTimeout: no
// message arrived within the silence timeout. kDrain: the agent reports that it
// drains.
enum class membership_event : std::uint8_t { kAlive, kTimeout, kDrain };

// Membership state of an agent from the view of one entry.
class agent_membership {
 public:
  agent_membership();
  ~agent_membership();

  // Returns false without a change when the phase does not allow the event.
  bool Apply(membership_event event);

  agent_phase phase() const;
  // Returns true when the agent is expected to receive messages.
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
