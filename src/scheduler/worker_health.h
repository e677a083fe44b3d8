#ifndef EGRETRACK_SCHEDULER_WORKER_HEALTH_H_
#define EGRETRACK_SCHEDULER_WORKER_HEALTH_H_

#include "egretrack/base/time.h"

namespace egretrack::scheduler {

// Outlier detection for one worker by the results of its runs. A worker that
// fails many runs is ejected, then probed with one task at a time at increasing
// intervals.
class worker_health {
 public:
  void RecordSuccess();
  // Returns true if this failure ejects the worker.
  bool RecordFailure(monotonic_time now);
  // Removes a recorded failure that the task caused, not the worker.
  void RetractFailure();

  bool ejected() const { return ejected_; }
  // True if the worker is ejected and its next probe is due.
  bool IsProbeDue(monotonic_time now) const {
    return ejected_ && !probe_in_flight_ && now >= next_probe_;
  }
  void BeginProbe() { probe_in_flight_ = true; }
  // Ends a probe whose result says nothing about the worker.
  void EndProbe() { probe_in_flight_ = false; }

 private:
  double failure_score_ = 0;
  bool ejected_ = false;
  bool probe_in_flight_ = false;
  monotonic_time next_probe_{};
  milliseconds probe_interval_{0};
};

}  // namespace egretrack::scheduler

#endif  // EGRETRACK_SCHEDULER_WORKER_HEALTH_H_
