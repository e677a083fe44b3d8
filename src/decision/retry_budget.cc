#include "decision/retry_budget.h"

#include <algorithm>
#include <cmath>

namespace egretrack::decision {
namespace {

constexpr double kHalfLifeUs = 10e6;  // "Recent" is about ten seconds.
constexpr microseconds kDecayStep = milliseconds(100);
// At a few requests per second a pure share would never allow a retry.
constexpr double kFloor = 1;

}  // namespace

void retry_budget::RecordRequest(monotonic_time now) {
  Decay(now);
  requests_ += 1;
}

bool retry_budget::TryAcquireRetry(monotonic_time now) {
  Decay(now);
  if (share_ <= 0 || retries_ + 1 > std::max(kFloor, share_ * requests_))
    return false;
  retries_ += 1;
  return true;
}

void retry_budget::Decay(monotonic_time now) {
  const microseconds elapsed = now - decayed_at_;
  if (elapsed < kDecayStep)
    return;
  decayed_at_ = now;
  const double factor =
      std::exp2(-static_cast<double>(elapsed.count()) / kHalfLifeUs);
  requests_ *= factor;
  retries_ *= factor;
}

}  // namespace egretrack::decision
