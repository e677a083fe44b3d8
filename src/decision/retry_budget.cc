#include "decision/retry_budget.h"

#include <algorithm>
#include <cmath>

namespace egretrack::decision {
namespace {

constexpr double kHalfLifeUs = 10e6;  // Of the request and retry counts.
constexpr microseconds kMinDecayInterval = milliseconds(100);
// At a few requests per second the ratio alone would never allow a retry.
constexpr double kMinRetries = 1;

}  // namespace

void retry_budget::RecordRequest(monotonic_time now) {
  Decay(now);
  requests_ += 1;
}

bool retry_budget::TryAcquireRetry(monotonic_time now) {
  Decay(now);
  if (max_retry_ratio_ <= 0 ||
      retries_ + 1 > std::max(kMinRetries, max_retry_ratio_ * requests_))
    return false;
  retries_ += 1;
  return true;
}

void retry_budget::Decay(monotonic_time now) {
  const microseconds elapsed = now - last_decay_;
  if (elapsed < kMinDecayInterval)
    return;
  last_decay_ = now;
  const double factor =
      std::exp2(-static_cast<double>(elapsed.count()) / kHalfLifeUs);
  requests_ *= factor;
  retries_ *= factor;
}

}  // namespace egretrack::decision
