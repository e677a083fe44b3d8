#include "decision/ordering.h"

#include <algorithm>

namespace egretrack::decision {
namespace {

// A job that has waited this long goes before jobs with an earlier deadline
// that came later, so that a far deadline does not starve it.
constexpr microseconds kAgeing = seconds(5);

class deadline_with_classes final : public ordering_strategy {
 public:
  monotonic_time Key(monotonic_time submitted,
                     monotonic_time deadline) const override {
    return std::min(deadline, submitted + kAgeing);
  }
  bool divides() const override { return true; }
};

class first_in_first_out final : public ordering_strategy {
 public:
  monotonic_time Key(monotonic_time submitted,
                     monotonic_time /*deadline*/) const override {
    return submitted;
  }
  bool divides() const override { return false; }
};

}  // namespace

std::unique_ptr<ordering_strategy> MakeOrdering(ordering_policy policy) {
  if (policy == ordering_policy::kFirstInFirstOut)
    return std::make_unique<first_in_first_out>();
  return std::make_unique<deadline_with_classes>();
}

}  // namespace egretrack::decision
