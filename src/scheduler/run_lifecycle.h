#ifndef EGRETRACK_SCHEDULER_RUN_LIFECYCLE_H_
#define EGRETRACK_SCHEDULER_RUN_LIFECYCLE_H_

#include <cstdint>
#include <memory>

namespace egretrack::scheduler {

// In the order of the states of the machine in run_lifecycle.cc.
enum class run_phase : std::uint8_t {
  kQueued,    // The worker has heard nothing of it.
  kStarting,  // The order is on its way, or its answer is.
  kRunning,
  kStopping,  // Until the worker lists no such run.
  kEnded,
};

enum class run_signal : std::uint8_t {
  kOrder,
  kRequeue,  // The worker refused the order; another may be sent.
  kConfirm,
  kStop,
  kEnd,
};

// Life cycle of one run at an agent.
class run_lifecycle {
 public:
  run_lifecycle();
  ~run_lifecycle();
  run_lifecycle(run_lifecycle&&) noexcept;
  run_lifecycle& operator=(run_lifecycle&&) noexcept;

  // False, without a change, when the phase does not allow the signal.
  bool Apply(run_signal signal);

  run_phase phase() const;
  // True while the run takes room at the worker, or may.
  bool holds_room() const {
    return phase() == run_phase::kStarting || phase() == run_phase::kRunning ||
           phase() == run_phase::kStopping;
  }

 private:
  struct machine;
  std::unique_ptr<machine> machine_;
};

}  // namespace egretrack::scheduler

#endif  // EGRETRACK_SCHEDULER_RUN_LIFECYCLE_H_
