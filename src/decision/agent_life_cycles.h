#ifndef EGRETRACK_DECISION_AGENT_LIFE_CYCLES_H_
#define EGRETRACK_DECISION_AGENT_LIFE_CYCLES_H_

#include <cstdint>
#include <memory>

// Life cycles of the agent's objects as Boost.MSM state machines, which stay in
// the source.
namespace egretrack::decision {

template <typename Phase, typename Step>
class life_cycle {
 public:
  life_cycle();
  ~life_cycle();
  life_cycle(life_cycle&&) noexcept;
  life_cycle& operator=(life_cycle&&) noexcept;

  // Returns false, and changes nothing, when the phase does not allow the step.
  bool Apply(Step step);
  Phase phase() const;

 private:
  struct machine;
  std::unique_ptr<machine> machine_;
};

enum class task_phase : std::uint8_t {
  kNew,
  kHeld,     // Waits in the agent's own queue.
  kStarted,  // Handed to the endpoint.
  kRefused,
  kFinished,
  kFailed,
  kCut,
};
enum class task_step : std::uint8_t {
  kHold,
  kStart,
  kRefuse,
  kFinish,
  kFail,
  kCut,
};
using task_life_cycle = life_cycle<task_phase, task_step>;

enum class connection_phase : std::uint8_t {
  kOpening,      // The entry has not answered yet.
  kEstablished,  // The entry answered on this connection.
};
enum class connection_step : std::uint8_t { kOpen, kReply };
using connection_life_cycle = life_cycle<connection_phase, connection_step>;

enum class drain_phase : std::uint8_t {
  kServing,
  kDraining,    // Accepted tasks still run.
  kConfirming,  // Waits until the entries have the last reports.
  kFinished,
};
enum class drain_step : std::uint8_t { kDrain, kIdle, kConfirmed };
using drain_life_cycle = life_cycle<drain_phase, drain_step>;

}  // namespace egretrack::decision

#endif  // EGRETRACK_DECISION_AGENT_LIFE_CYCLES_H_
