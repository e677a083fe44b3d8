#ifndef EGRETRACK_DECISION_JOB_LIFECYCLE_H_
#define EGRETRACK_DECISION_JOB_LIFECYCLE_H_

#include <cstdint>
#include <memory>

namespace egretrack::decision {

// In the order of the states of the machine in job_lifecycle.cc.
enum class job_phase : std::uint8_t {
  kNew,
  kBinding,  // Waits for its idempotency key to be bound; not queued yet.
  kQueued,   // No task has been dispatched yet.
  kRunning,
  kClosing,  // Dispatches no more tasks; waits for the outstanding ones.
  kEnded,
};

enum class job_event : std::uint8_t {
  kBind,
  kAdmit,
  kDispatch,
  kClose,
  kEnd,
};

// State machine of a job at its home entry.
class job_lifecycle {
 public:
  job_lifecycle();
  ~job_lifecycle();
  job_lifecycle(job_lifecycle&&) noexcept;
  job_lifecycle& operator=(job_lifecycle&&) noexcept;

  // Returns false and changes nothing if the phase does not allow the event.
  bool Apply(job_event event);

  job_phase phase() const;
  // True while tasks may be dispatched.
  bool open() const {
    return phase() == job_phase::kQueued || phase() == job_phase::kRunning;
  }
  bool ended() const { return phase() == job_phase::kEnded; }

 private:
  struct machine;
  std::unique_ptr<machine> machine_;
};

}  // namespace egretrack::decision

#endif  // EGRETRACK_DECISION_JOB_LIFECYCLE_H_
