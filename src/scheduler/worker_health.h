#ifndef EGRETRACK_SCHEDULER_WORKER_HEALTH_H_
#define EGRETRACK_SCHEDULER_WORKER_HEALTH_H_

#include "egretrack/base/time.h"

namespace egretrack::scheduler {

// Outlier detection for one worker by the results of its runs. A worker that
// fails many runs is ejected, then gets single trial tasks at increasing
// intervals.
class worker_health {
 public:
  void RecordSuccess();
  // Returns true if this failure ejects the worker.
  bool RecordFailure(monotonic_time now);
  // Removes a recorded failure that the task caused, not the worker.
  void RetractFailure();

  bool ejected() const { return ejected_; }
  // True if the worker is ejected and its next trial is due.
  bool IsTrialDue(monotonic_time now) const {
    return ejected_ && !trial_running_ && now >= next_trial_;
  }
  void StartTrial() { trial_running_ = true; }
  // Ends a trial whose result says nothing about the worker.
  void AbandonTrial() { trial_running_ = false; }

 private:
  double failure_score_ = 0;
  bool ejected_ = false;
  bool trial_running_ = false;
  monotonic_time next_trial_{};
  milliseconds trial_interval_{0};
};

}  // namespace egretrack::scheduler

#endif  // EGRETRACK_SCHEDULER_WORKER_HEALTH_H_
