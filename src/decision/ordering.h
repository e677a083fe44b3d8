#ifndef EGRETRACK_DECISION_ORDERING_H_
#define EGRETRACK_DECISION_ORDERING_H_

#include <memory>

#include "egretrack/base/time.h"
#include "egretrack/decision/entry_core.h"

namespace egretrack::decision {

// Order in which queued jobs are dispatched.
class ordering_strategy {
 public:
  virtual ~ordering_strategy() = default;

  // Jobs with a lower key go first.
  virtual monotonic_time PriorityKey(monotonic_time submitted,
                                     monotonic_time deadline) const = 0;
  // True if each team has its own queue and long tasks get a limited share of
  // the slots. False if all teams share one queue and long tasks may use every
  // slot.
  virtual bool enforces_shares() const = 0;
};

std::unique_ptr<ordering_strategy> MakeOrdering(ordering_policy policy);

}  // namespace egretrack::decision

#endif  // EGRETRACK_DECISION_ORDERING_H_
