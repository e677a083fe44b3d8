#include "scheduler/refusal_rate.h"

#include <cmath>

namespace egretrack::scheduler {
namespace {

constexpr double kLearningRate = 0.2;
constexpr milliseconds kHalfLife{1000};
// A refused task returns to its entry and is dispatched again.
constexpr milliseconds kRefusalCost{15};
// Bounds the delay to some seconds for a worker that refuses everything.
constexpr double kMinStartedShare = 0.005;

}  // namespace

double refusal_rate::ShareAt(monotonic_time now) const {
  const double half_lives =
      static_cast<double>((now - updated_).count()) /
      static_cast<double>(microseconds(kHalfLife).count());
  return share_ * std::exp2(-half_lives);
}

void refusal_rate::Record(double outcome, monotonic_time now) {
  const double share = ShareAt(now);
  share_ = share + kLearningRate * (outcome - share);
  updated_ = now;
}

microseconds refusal_rate::ExpectedDelay(monotonic_time now) const {
  const double share = ShareAt(now);
  return Scale(microseconds(kRefusalCost),
               share / (1 - share + kMinStartedShare));
}

}  // namespace egretrack::scheduler
