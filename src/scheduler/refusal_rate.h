#ifndef EGRETRACK_SCHEDULER_REFUSAL_RATE_H_
#define EGRETRACK_SCHEDULER_REFUSAL_RATE_H_

#include "egretrack/base/time.h"

// Share of the starts that a worker refuses. Load pattern: at a crest some
// workers shed part of their load. A refusal costs one more dispatch and no
// attempt of the task, so such a worker is a slower one and is not ejected: its
// free resources are used when the others have none.
namespace egretrack::scheduler {

class refusal_rate {
 public:
  void RecordStart(monotonic_time now) { Record(0, now); }
  void RecordRefusal(monotonic_time now) { Record(1, now); }

  // Predicted time that a task loses to refusals before it starts here.
  microseconds ExpectedDelay(monotonic_time now) const;

 private:
  void Record(double outcome, monotonic_time now);
  // Forgets outcomes with time, so that a worker that recovers is used again.
  double ShareAt(monotonic_time now) const;

  double share_ = 0;
  monotonic_time updated_{};
};

}  // namespace egretrack::scheduler

#endif  // EGRETRACK_SCHEDULER_REFUSAL_RATE_H_
