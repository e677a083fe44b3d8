#include "decision/kind_profile.h"

#include <algorithm>
#include <cmath>

namespace egretrack::decision {
namespace {

constexpr double kFirstBucketUs = 500;     // Upper bound of the first bucket.
constexpr double kBucketsPerDoubling = 4;  // Each bucket is 19 % wide.
constexpr double kMaxTotalWeight = 2000;   // All weights are halved above it.
constexpr double kPriorWeight = 8;         // Weight of the declared run time.
constexpr std::uint32_t kSamplesPerRefresh = 16;
constexpr double kTailQuantile = 0.95;
constexpr int kStragglerFactor = 4;  // Multiple of the tail run time.

// Most tasks take 50 ms to 1 s. The gap between the thresholds keeps a kind
// near them from changing its class with every estimate.
constexpr microseconds kLongThreshold = milliseconds(1000);
constexpr microseconds kShortThreshold = milliseconds(800);

std::size_t BucketOf(microseconds run_time, std::size_t bucket_count) {
  const double ratio = static_cast<double>(run_time.count()) / kFirstBucketUs;
  if (ratio <= 1)
    return 0;
  const double index = std::ceil(std::log2(ratio) * kBucketsPerDoubling);
  return std::min(static_cast<std::size_t>(index), bucket_count - 1);
}

microseconds UpperBound(std::size_t bucket) {
  const double exponent = static_cast<double>(bucket) / kBucketsPerDoubling;
  return microseconds(std::llround(kFirstBucketUs * std::exp2(exponent)));
}

}  // namespace

kind_profile::kind_profile(microseconds declared_run_time) {
  weights_[BucketOf(declared_run_time, kBucketCount)] = kPriorWeight;
  total_weight_ = kPriorWeight;
  weighted_sum_us_ =
      kPriorWeight * static_cast<double>(declared_run_time.count());
  Refresh();
}

void kind_profile::Add(microseconds run_time) {
  weights_[BucketOf(run_time, kBucketCount)] += 1;
  total_weight_ += 1;
  weighted_sum_us_ += static_cast<double>(run_time.count());
  if (total_weight_ > kMaxTotalWeight) {
    for (float& weight : weights_)
      weight /= 2;
    total_weight_ /= 2;
    weighted_sum_us_ /= 2;
  }
  if (++samples_since_refresh_ >= kSamplesPerRefresh)
    Refresh();
}

bool kind_profile::IsStraggler(microseconds elapsed) const {
  return elapsed > kStragglerFactor * tail_ && elapsed >= kLongThreshold;
}

microseconds kind_profile::Quantile(double fraction) const {
  double cumulative = 0;
  for (std::size_t bucket = 0; bucket < kBucketCount; ++bucket) {
    cumulative += weights_[bucket];
    if (cumulative >= fraction * total_weight_)
      return UpperBound(bucket);
  }
  return UpperBound(kBucketCount - 1);
}

void kind_profile::Refresh() {
  samples_since_refresh_ = 0;
  median_ = Quantile(0.5);
  tail_ = Quantile(kTailQuantile);
  mean_ = microseconds(std::llround(weighted_sum_us_ / total_weight_));
  if (median_ >= kLongThreshold)
    class_ = run_class::kLong;
  else if (median_ <= kShortThreshold)
    class_ = run_class::kShort;
}

}  // namespace egretrack::decision
