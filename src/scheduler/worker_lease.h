#ifndef EGRETRACK_SCHEDULER_WORKER_LEASE_H_
#define EGRETRACK_SCHEDULER_WORKER_LEASE_H_

#include <optional>

#include "egretrack/base/time.h"

namespace egretrack::scheduler {

// The lease under which all runs of one worker incarnation execute. Its end is
// a time on the worker's clock, for which only a lower bound is known.
class worker_lease {
 public:
  // `drift` bounds the relative error of the worker's clock.
  worker_lease(milliseconds length, double drift)
      : length_(length), drift_(drift) {}

  // Drops the clock reading. Call when nothing runs under the lease.
  void Reset();

  // The worker's clock showed `worker_clock` at or before `now`.
  void ObserveClock(milliseconds worker_clock, monotonic_time now);
  bool clock_known() const { return clock_.has_value(); }

  // Returns the lease end to request in a call sent at `now`, and extends
  // expires_at() accordingly. Requires clock_known().
  milliseconds Renew(monotonic_time now);

  // Local time by which all runs have ended unless the lease is renewed.
  monotonic_time expires_at() const { return expires_at_; }

 private:
  struct clock_reading {
    milliseconds worker_clock;
    monotonic_time at;
  };

  const milliseconds length_;
  const double drift_;
  std::optional<clock_reading> clock_;
  monotonic_time expires_at_{};
};

}  // namespace egretrack::scheduler

#endif  // EGRETRACK_SCHEDULER_WORKER_LEASE_H_
