#include "decision/kind_profile.h"

#include <algorithm>
#include <cmath>

namespace egretrack::decision {
namespace {

constexpr double kSmallestUs = 500;     // Upper bound of the first bucket.
constexpr double kBucketsPerTwo = 4;    // Buckets per doubling: 19 % each.
constexpr double kMaxWeight = 2000;     // Beyond it all weights are halved.
constexpr double kPriorWeight = 8;      // Of the declared run time, in samples.
constexpr std::uint32_t kRefresh = 16;  // Samples between two estimates.
constexpr double kTailShare = 0.95;
constexpr int kStragglerFactor = 4;  // Times the tail.

// Most tasks take 50 ms to 1 s. The gap keeps a kind near the border from
// changing its class with every estimate.
constexpr microseconds kLongFrom = milliseconds(1000);
constexpr microseconds kShortFrom = milliseconds(800);

std::size_t BucketOf(microseconds run_time, std::size_t buckets) {
  const double ratio = static_cast<double>(run_time.count()) / kSmallestUs;
  if (ratio <= 1)
    return 0;
  const double position = std::ceil(std::log2(ratio) * kBucketsPerTwo);
  return std::min(static_cast<std::size_t>(position), buckets - 1);
}

microseconds UpperBound(std::size_t bucket) {
  const double exponent = static_cast<double>(bucket) / kBucketsPerTwo;
  return microseconds(std::llround(kSmallestUs * std::exp2(exponent)));
}

}  // namespace

kind_profile::kind_profile(microseconds expected) {
  weights_[BucketOf(expected, kBuckets)] = kPriorWeight;
  total_ = kPriorWeight;
  sum_us_ = kPriorWeight * static_cast<double>(expected.count());
  Refresh();
}

void kind_profile::Add(microseconds run_time) {
  weights_[BucketOf(run_time, kBuckets)] += 1;
  total_ += 1;
  sum_us_ += static_cast<double>(run_time.count());
  if (total_ > kMaxWeight) {
    for (float& weight : weights_)
      weight /= 2;
    total_ /= 2;
    sum_us_ /= 2;
  }
  if (++since_refresh_ >= kRefresh)
    Refresh();
}

bool kind_profile::IsStraggler(microseconds elapsed) const {
  return elapsed > kStragglerFactor * tail_ && elapsed >= kLongFrom;
}

microseconds kind_profile::Quantile(double share) const {
  double below = 0;
  for (std::size_t bucket = 0; bucket < kBuckets; ++bucket) {
    below += weights_[bucket];
    if (below >= share * total_)
      return UpperBound(bucket);
  }
  return UpperBound(kBuckets - 1);
}

void kind_profile::Refresh() {
  since_refresh_ = 0;
  median_ = Quantile(0.5);
  tail_ = Quantile(kTailShare);
  mean_ = microseconds(std::llround(sum_us_ / total_));
  if (median_ >= kLongFrom)
    class_ = run_class::kLong;
  else if (median_ <= kShortFrom)
    class_ = run_class::kShort;
}

}  // namespace egretrack::decision
