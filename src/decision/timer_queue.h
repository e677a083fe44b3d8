#ifndef EGRETRACK_DECISION_TIMER_QUEUE_H_
#define EGRETRACK_DECISION_TIMER_QUEUE_H_

#include <algorithm>
#include <functional>
#include <optional>
#include <queue>
#include <vector>

#include "egretrack/base/time.h"

namespace egretrack::decision {

// Timers ordered by due time. Timers cannot be cancelled; the owner checks
// whether a due timer is stale.
template <typename Timer>
class timer_queue {
 public:
  void Add(monotonic_time due, Timer timer) { heap_.push({due, timer}); }

  // Removes and returns the earliest timer if it is due at `now`.
  std::optional<Timer> PopDue(monotonic_time now) {
    if (heap_.empty() || heap_.top().due > now)
      return std::nullopt;
    const Timer timer = heap_.top().timer;
    heap_.pop();
    return timer;
  }

  // Removes stale timers from the front of the queue.
  template <typename Predicate>
  void Prune(Predicate is_stale) {
    while (!heap_.empty() && is_stale(heap_.top().timer))
      heap_.pop();
  }

  // Returns the time of the earliest timer, at most `fallback`.
  monotonic_time NextOr(monotonic_time fallback) const {
    return heap_.empty() ? fallback : std::min(heap_.top().due, fallback);
  }

 private:
  struct scheduled_timer {
    monotonic_time due;
    Timer timer;
    bool operator>(const scheduled_timer& other) const {
      return due > other.due;
    }
  };
  std::priority_queue<scheduled_timer,
                      std::vector<scheduled_timer>,
                      std::greater<>>
      heap_;
};

}  // namespace egretrack::decision

#endif  // EGRETRACK_DECISION_TIMER_QUEUE_H_
