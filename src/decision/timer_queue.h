#ifndef EGRETRACK_DECISION_TIMER_QUEUE_H_
#define EGRETRACK_DECISION_TIMER_QUEUE_H_

#include <algorithm>
#include <functional>
#include <optional>
#include <queue>
#include <vector>

#include "egretrack/base/time.h"

namespace egretrack::decision {

// Timers in order of their time. A timer is not cancelled; its owner checks
// when it fires whether it still matters.
template <typename Timer>
class timer_queue {
 public:
  void Add(monotonic_time at, Timer timer) { heap_.push({at, timer}); }

  // Takes one timer that is due at `now`.
  std::optional<Timer> PopDue(monotonic_time now) {
    if (heap_.empty() || heap_.top().at > now)
      return std::nullopt;
    const Timer timer = heap_.top().timer;
    heap_.pop();
    return timer;
  }

  // Drops timers from the front while they are stale.
  template <typename Predicate>
  void Prune(Predicate is_stale) {
    while (!heap_.empty() && is_stale(heap_.top().timer))
      heap_.pop();
  }

  // `otherwise` when there is no earlier timer.
  monotonic_time NextOr(monotonic_time otherwise) const {
    return heap_.empty() ? otherwise : std::min(heap_.top().at, otherwise);
  }

 private:
  struct entry {
    monotonic_time at;
    Timer timer;
    bool operator>(const entry& other) const { return at > other.at; }
  };
  std::priority_queue<entry, std::vector<entry>, std::greater<>> heap_;
};

}  // namespace egretrack::decision

#endif  // EGRETRACK_DECISION_TIMER_QUEUE_H_
