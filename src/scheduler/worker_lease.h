#ifndef EGRETRACK_SCHEDULER_WORKER_LEASE_H_
#define EGRETRACK_SCHEDULER_WORKER_LEASE_H_

#include <optional>

#include "egretrack/base/time.h"

namespace egretrack::scheduler {

// The lease under which all runs of one worker incarnation execute. Its end is
// a time on the worker's clock, for which only a lower bound is known.
class worker_lease {
 public:
  // A worker shortens a lease that is longer than `longest`. `drift` bounds the
  // relative error of the worker's clock.
  worker_lease(milliseconds length, milliseconds longest, double drift)
      : length_(length), longest_(longest), drift_(drift) {}

  // Longest local time for which a lease of `length` lasts after its renewal.
  static milliseconds LongestTime(milliseconds length, double drift);

  // Drops the clock reading, which belongs to one worker incarnation. The ends
  // of the leases that were requested before stay as they are.
  void Reset();

  // The worker's clock showed `worker_clock` at or before `now`.
  void ObserveClock(milliseconds worker_clock, monotonic_time now);
  // Whether the clock was read so recently that the drift since then shortens a
  // lease by little.
  bool HasRecentClock(monotonic_time now) const;

  // Returns the lease end to request in a call sent at `now`, and extends
  // expires_at() accordingly. Requires a clock reading.
  milliseconds Renew(monotonic_time now);

  // Whether the lease ends by expires_at() on a clock that showed
  // `worker_clock` when a call with `lease_until` was answered.
  bool Covers(milliseconds lease_until, milliseconds worker_clock) const {
    return lease_until - worker_clock <= length_;
  }

  // Local time by which the runs of the incarnation whose clock was read have
  // ended unless the lease is renewed.
  monotonic_time expires_at() const { return expires_at_; }
  // The same for a run that may be at a later incarnation. The lease that it
  // was sent with ends at a time on another clock, so that only the longest
  // lease bounds it.
  monotonic_time latest_expiry() const { return latest_expiry_; }

 private:
  struct clock_reading {
    milliseconds worker_clock;
    monotonic_time at;
  };

  const milliseconds length_;
  const milliseconds longest_;
  const double drift_;
  std::optional<clock_reading> clock_;
  monotonic_time expires_at_{};
  monotonic_time latest_expiry_{};
};

}  // namespace egretrack::scheduler

#endif  // EGRETRACK_SCHEDULER_WORKER_LEASE_H_
