#ifndef EGRETRACK_SCHEDULER_RUN_LIFECYCLE_H_
#define EGRETRACK_SCHEDULER_RUN_LIFECYCLE_H_

#include <cstdint>
#include <memory>

namespace egretrack::scheduler {

// The values are the state numbers of the state machine in run_lifecycle.cc.
enum class run_phase : std::uint8_t {
  kQueued,    // No start call was sent to the worker.
  kStarting,  // Waiting for the result of the start call.
  kRunning,
  kStopping,  // Until the worker no longer lists the run.
  kEnded,
};

enum class run_event : std::uint8_t {
  kStart,    // A start call is sent.
  kRequeue,  // The worker refused the call; it may be repeated.
  kConfirm,
  kStop,
  kEnd,
};

// State machine of one run at an agent.
class run_lifecycle {
 public:
  run_lifecycle();
  ~run_lifecycle();
  run_lifecycle(run_lifecycle&&) noexcept;
  run_lifecycle& operator=(run_lifecycle&&) noexcept;

  // Returns false and changes nothing if the phase does not allow the event.
  bool Apply(run_event event);

  run_phase phase() const;
  // True while the run uses, or may use, resources of the worker.
  bool holds_resources() const {
    return phase() == run_phase::kStarting || phase() == run_phase::kRunning ||
           phase() == run_phase::kStopping;
  }

 private:
  struct machine;
  std::unique_ptr<machine> machine_;
};

}  // namespace egretrack::scheduler

#endif  // EGRETRACK_SCHEDULER_RUN_LIFECYCLE_H_
