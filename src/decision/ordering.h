#ifndef EGRETRACK_DECISION_ORDERING_H_
#define EGRETRACK_DECISION_ORDERING_H_

#include <memory>

#include "egretrack/base/time.h"
#include "egretrack/decision/entry_core.h"

namespace egretrack::decision {

// Order in which queued work is sent.
class ordering_strategy {
 public:
  virtual ~ordering_strategy() = default;

  // Jobs with a lower key go first.
  virtual monotonic_time Key(monotonic_time submitted,
                             monotonic_time deadline) const = 0;
  // False: teams share one queue, and long work gets every slot.
  virtual bool divides() const = 0;
};

std::unique_ptr<ordering_strategy> MakeOrdering(ordering_policy policy);

}  // namespace egretrack::decision

#endif  // EGRETRACK_DECISION_ORDERING_H_
