#include "decision/ordering.h"

#include <algorithm>

namespace egretrack::decision {
namespace {

// Upper bound of a job's key after its submission, so that later jobs with
// earlier deadlines cannot starve a job with a distant deadline.
constexpr microseconds kAgingLimit = seconds(5);

class deadline_with_classes final : public ordering_strategy {
 public:
  monotonic_time PriorityKey(monotonic_time submitted,
                             monotonic_time deadline) const override {
    return std::min(deadline, submitted + kAgingLimit);
  }
  bool enforces_shares() const override { return true; }
};

class first_in_first_out final : public ordering_strategy {
 public:
  monotonic_time PriorityKey(monotonic_time submitted,
                             monotonic_time /*deadline*/) const override {
    return submitted;
  }
  bool enforces_shares() const override { return false; }
};

}  // namespace

std::unique_ptr<ordering_strategy> MakeOrdering(ordering_policy policy) {
  if (policy == ordering_policy::kFirstInFirstOut)
    return std::make_unique<first_in_first_out>();
  return std::make_unique<deadline_with_classes>();
}

}  // namespace egretrack::decision
