#ifndef EGRETRACK_DECISION_RETRY_BUDGET_H_
#define EGRETRACK_DECISION_RETRY_BUDGET_H_

#include "egretrack/base/time.h"

namespace egretrack::decision {

// Limits retries to a ratio of recent requests, so that retries cannot multiply
// the load of a failing desk.
class retry_budget {
 public:
  explicit retry_budget(double max_retry_ratio)
      : max_retry_ratio_(max_retry_ratio) {}

  void RecordRequest(monotonic_time now);
  // Counts a retry and returns true when the budget allows it.
  bool TryAcquireRetry(monotonic_time now);

 private:
  void Decay(monotonic_time now);

  double max_retry_ratio_;
  double requests_ = 0;
  double retries_ = 0;
  monotonic_time last_decay_{};
};

}  // namespace egretrack::decision

#endif  // EGRETRACK_DECISION_RETRY_BUDGET_H_
