#include "scheduler/worker_lease.h"

#include <algorithm>

namespace egretrack::scheduler {
namespace {

// Time for the worker to end its runs after the lease has expired.
constexpr milliseconds kExpiryMargin{10};
// With a drift of 2 %, an older reading would shorten the lease by more than
// 40 ms.
constexpr seconds kMaxReadingAge{2};

}  // namespace

milliseconds worker_lease::LongestTime(milliseconds length, double drift) {
  return std::chrono::ceil<milliseconds>(Scale(length, 1 / (1 - drift))) +
         kExpiryMargin;
}

void worker_lease::Reset() {
  clock_.reset();
}

void worker_lease::ObserveClock(milliseconds worker_clock, monotonic_time now) {
  clock_ = clock_reading{worker_clock, now};
}

bool worker_lease::HasRecentClock(monotonic_time now) const {
  return clock_ && now - clock_->at <= kMaxReadingAge;
}

milliseconds worker_lease::Renew(monotonic_time now) {
  // The worker's clock may run slow, so less than the local elapsed time is
  // added to the reading. The lease is therefore never longer than `length_` on
  // the worker's clock.
  const auto worker_now =
      clock_->worker_clock + std::chrono::duration_cast<milliseconds>(
                                 Scale(now - clock_->at, 1 - drift_));
  expires_at_ = std::max(expires_at_, now + LongestTime(length_, drift_));
  latest_expiry_ = now + LongestTime(longest_, drift_);
  return worker_now + length_;
}

}  // namespace egretrack::scheduler
