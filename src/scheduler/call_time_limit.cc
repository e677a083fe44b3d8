#include "scheduler/call_time_limit.h"

#include <algorithm>

namespace egretrack::scheduler {
namespace {

// A worker on the same machine that is not busy answers within 1 to 2 ms.
constexpr milliseconds kFirstTime{2};
constexpr milliseconds kFirstVariation{1};
// Gains and factor of RFC 6298.
constexpr int kTimeShare = 8;
constexpr int kVariationShare = 4;
constexpr int kVariations = 4;
// Least distance of the limit from the smoothed time, for processes that wait
// for the processor. With kFirstTime it gives kShortest.
constexpr milliseconds kMinMargin{18};
// What a timed-out call counts as, in multiples of its limit.
constexpr int kTimeoutFactor = 2;

}  // namespace

call_time_limit::call_time_limit(milliseconds longest)
    : longest_(std::max(longest, kShortest)),
      smoothed_(kFirstTime),
      variation_(kFirstVariation) {}

void call_time_limit::Learn(microseconds time) {
  const microseconds difference = time - smoothed_;
  variation_ += (std::chrono::abs(difference) - variation_) / kVariationShare;
  smoothed_ += difference / kTimeShare;
}

void call_time_limit::OnAnswered(microseconds time) {
  Learn(std::min<microseconds>(time, longest_));
}

// A time beyond the current limit raises both the smoothed time and the
// variation. Shorter times are not learned: a call can have a limit of its own
// below that of other calls.
void call_time_limit::OnTimedOut(milliseconds limit) {
  const milliseconds time = std::min(kTimeoutFactor * limit, longest_);
  if (time > this->limit())
    Learn(time);
}

milliseconds call_time_limit::limit() const {
  const microseconds margin =
      std::max<microseconds>(kVariations * variation_, kMinMargin);
  return std::clamp(std::chrono::ceil<milliseconds>(smoothed_ + margin),
                    kShortest, longest_);
}

}  // namespace egretrack::scheduler
