#ifndef EGRETRACK_DECISION_KIND_PROFILE_H_
#define EGRETRACK_DECISION_KIND_PROFILE_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "egretrack/base/time.h"

namespace egretrack::decision {

// Whether the tasks of a kind count as short or as long work.
enum class run_class : std::uint8_t { kShort, kLong };

// Run time statistics of one request kind: a histogram with logarithmic buckets
// whose weights decay, so that the estimates follow changes of the run time.
class kind_profile {
 public:
  explicit kind_profile(microseconds declared_run_time);

  void Add(microseconds run_time);

  microseconds median() const { return median_; }
  microseconds tail() const { return tail_; }  // 95 % quantile.
  microseconds mean() const { return mean_; }
  run_class classification() const { return class_; }

  // Returns true when a task that has run for `elapsed` counts as long work
  // regardless of the class of its kind.
  bool IsStraggler(microseconds elapsed) const;

 private:
  static constexpr std::size_t kBucketCount = 80;

  microseconds Quantile(double fraction) const;
  void Refresh();

  std::array<float, kBucketCount> weights_{};
  double total_weight_ = 0;
  double weighted_sum_us_ = 0;
  std::uint32_t samples_since_refresh_ = 0;
  microseconds median_{0};
  microseconds tail_{0};
  microseconds mean_{0};
  run_class class_ = run_class::kShort;
};

}  // namespace egretrack::decision

#endif  // EGRETRACK_DECISION_KIND_PROFILE_H_
