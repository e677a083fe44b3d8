#ifndef EGRETRACK_SCHEDULER_WORKER_LEASE_H_
#define EGRETRACK_SCHEDULER_WORKER_LEASE_H_

#include <optional>

#include "egretrack/base/time.h"

namespace egretrack::scheduler {

// The lease under which everything on one life of a worker runs. Its end is a
// time on the worker's clock, of which only a lower bound is known.
class worker_lease {
 public:
  // `drift` bounds the relative error of the worker's clock.
  worker_lease(milliseconds length, double drift)
      : length_(length), drift_(drift) {}

  // Forgets the worker's clock; nothing runs under the lease.
  void Reset();

  // The worker's clock showed `worker_clock` at or before `now`.
  void ObserveClock(milliseconds worker_clock, monotonic_time now);
  bool clock_known() const { return clock_.has_value(); }

  // The end to ask for in an order that is sent at `now`; the lease then may
  // last until expires_at(). The clock is known.
  milliseconds Renew(monotonic_time now);

  // When, on our clock, everything has surely ended without a renewal.
  monotonic_time expires_at() const { return expires_at_; }

 private:
  struct reading {
    milliseconds worker_clock;
    monotonic_time at;
  };

  const milliseconds length_;
  const double drift_;
  std::optional<reading> clock_;
  monotonic_time expires_at_{};
};

}  // namespace egretrack::scheduler

#endif  // EGRETRACK_SCHEDULER_WORKER_LEASE_H_
