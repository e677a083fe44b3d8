#ifndef EGRETRACK_SCHEDULER_WORKER_HEALTH_H_
#define EGRETRACK_SCHEDULER_WORKER_HEALTH_H_

#include "egretrack/base/time.h"

namespace egretrack::scheduler {

// Judges a worker by how its runs end. One that fails much of what it starts
// is ejected, and then tried with one task at a time at growing intervals.
class worker_health {
 public:
  void NoteSuccess();
  // Returns true when this failure ejects the worker.
  bool NoteFailure(monotonic_time now);
  // A failure noted before was the task's own fault.
  void Forgive();

  bool ejected() const { return ejected_; }
  // True for an ejected worker whose next trial is due.
  bool IsTrialDue(monotonic_time now) const {
    return ejected_ && !trial_running_ && now >= next_trial_;
  }
  void NoteTrial() { trial_running_ = true; }
  // The trial ended without telling anything.
  void EndTrial() { trial_running_ = false; }

 private:
  double score_ = 0;
  bool ejected_ = false;
  bool trial_running_ = false;
  monotonic_time next_trial_{};
  milliseconds interval_{0};
};

}  // namespace egretrack::scheduler

#endif  // EGRETRACK_SCHEDULER_WORKER_HEALTH_H_
