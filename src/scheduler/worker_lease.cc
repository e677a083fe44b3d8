#include "scheduler/worker_lease.h"

#include <algorithm>

namespace egretrack::scheduler {
namespace {

// Between the end of the lease and the end of what runs under it.
constexpr milliseconds kExpirySlack{10};

}  // namespace

void worker_lease::Reset() {
  clock_.reset();
  expires_at_ = {};
}

void worker_lease::ObserveClock(milliseconds worker_clock, monotonic_time now) {
  clock_ = reading{worker_clock, now};
}

milliseconds worker_lease::Renew(monotonic_time now) {
  // The clock may run slow, so less than our elapsed time is added to the
  // reading. The end is then never later than `length_` on the worker's clock.
  const auto worker_now =
      clock_->worker_clock + std::chrono::duration_cast<milliseconds>(
                                 Scale(now - clock_->at, 1 - drift_));
  const microseconds longest = Scale(length_, 1 / (1 - drift_));
  expires_at_ = std::max(expires_at_, now + longest + kExpirySlack);
  return worker_now + length_;
}

}  // namespace egretrack::scheduler
