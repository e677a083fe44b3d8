#ifndef EGRETRACK_DECISION_RETRY_BUDGET_H_
#define EGRETRACK_DECISION_RETRY_BUDGET_H_

#include "egretrack/base/time.h"

namespace egretrack::decision {

// Bounds retries to a share of recent requests, so that retries cannot
// multiply the load of a failing desk.
class retry_budget {
 public:
  explicit retry_budget(double share) : share_(share) {}

  void RecordRequest(monotonic_time now);
  // True, and the retry is counted, when the budget allows one.
  bool TryAcquireRetry(monotonic_time now);

 private:
  void Decay(monotonic_time now);

  double share_;
  double requests_ = 0;
  double retries_ = 0;
  monotonic_time decayed_at_{};
};

}  // namespace egretrack::decision

#endif  // EGRETRACK_DECISION_RETRY_BUDGET_H_
