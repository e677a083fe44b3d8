#ifndef EGRETRACK_SCHEDULER_CALL_TIME_LIMIT_H_
#define EGRETRACK_SCHEDULER_CALL_TIME_LIMIT_H_

#include "egretrack/base/time.h"

// Time limit of the next call to a worker, learned from earlier calls as the
// retransmission timer of TCP is. Load pattern: the worker's machine is busy,
// or the worker is, and answers that took 2 ms take up to 90 ms for a while.
namespace egretrack::scheduler {

class call_time_limit {
 public:
  // Also the limit before the first call. A call of a fast worker that takes
  // longer is lost or will take effect late: each pending start delays the next
  // ones, and until a poll is given up, no run ends are seen and no resources
  // become free.
  static constexpr milliseconds kShortest{20};

  explicit call_time_limit(milliseconds longest);

  // The worker answered a call after `time`.
  void OnAnswered(microseconds time);
  // A call was given up after its limit. It counts as slower than that and
  // never shortens the limit.
  void OnTimedOut(milliseconds limit);

  // Limit of the next call, from kShortest to longest().
  milliseconds limit() const;
  milliseconds longest() const { return longest_; }

 private:
  void Learn(microseconds time);

  const milliseconds longest_;
  microseconds smoothed_;
  microseconds variation_;
};

}  // namespace egretrack::scheduler

#endif  // EGRETRACK_SCHEDULER_CALL_TIME_LIMIT_H_
