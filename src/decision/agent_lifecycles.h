#ifndef EGRETRACK_DECISION_AGENT_LIFECYCLES_H_
#define EGRETRACK_DECISION_AGENT_LIFECYCLES_H_

#include <cstdint>
#include <memory>

// Lifecycles of the agent's tasks, connections and drain. Each is a Boost.MSM
// state machine; the Boost headers are included only in the source file.
namespace egretrack::decision {

template <typename Phase, typename Event>
class lifecycle {
 public:
  lifecycle();
  ~lifecycle();
  lifecycle(lifecycle&&) noexcept;
  lifecycle& operator=(lifecycle&&) noexcept;

  // Returns false without a change when the current phase does not allow
  // `event`.
  bool Apply(Event event);
  Phase phase() const;

 private:
  struct machine;
  std::unique_ptr<machine> machine_;
};

enum class agent_task_phase : std::uint8_t {
  kNew,
  kHeld,     // Waits in the agent's queue for a slot.
  kStarted,  // Sent to the endpoint.
  kRefused,
  kFinished,
  kFailed,
  kCut,
};
enum class agent_task_event : std::uint8_t {
  kHold,
  kStart,
  kRefuse,
  kFinish,
  kFail,
  kCut,
};
using task_lifecycle = lifecycle<agent_task_phase, agent_task_event>;

enum class connection_phase : std::uint8_t {
  kOpening,      // The entry has not replied yet.
  kEstablished,  // The entry replied on this connection.
};
enum class connection_event : std::uint8_t { kOpen, kReply };
using connection_lifecycle = lifecycle<connection_phase, connection_event>;

enum class agent_drain_phase : std::uint8_t {
  kServing,
  kDraining,    // Accepted tasks are still running.
  kConfirming,  // Waits until the entries confirm the last reports.
  kFinished,
};
enum class agent_drain_event : std::uint8_t { kDrain, kIdle, kConfirmed };
using drain_lifecycle = lifecycle<agent_drain_phase, agent_drain_event>;

}  // namespace egretrack::decision

#endif  // EGRETRACK_DECISION_AGENT_LIFECYCLES_H_
