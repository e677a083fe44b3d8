#ifndef EGRETRACK_DECISION_KIND_PROFILE_H_
#define EGRETRACK_DECISION_KIND_PROFILE_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "egretrack/base/time.h"

namespace egretrack::decision {

enum class run_class : std::uint8_t { kShort, kLong };

// Learned run times of one request kind: a histogram with logarithmic buckets
// whose weights decay, so that the estimate follows a change of the kind.
class kind_profile {
 public:
  explicit kind_profile(microseconds expected);

  void Add(microseconds run_time);

  microseconds median() const { return median_; }
  microseconds tail() const { return tail_; }  // 95 % quantile.
  microseconds mean() const { return mean_; }
  run_class classification() const { return class_; }

  // True when a task that runs for `elapsed` counts as long work whatever the
  // class of its kind.
  bool IsStraggler(microseconds elapsed) const;

 private:
  static constexpr std::size_t kBuckets = 80;

  microseconds Quantile(double share) const;
  void Refresh();

  std::array<float, kBuckets> weights_{};
  double total_ = 0;
  double sum_us_ = 0;
  std::uint32_t since_refresh_ = 0;
  microseconds median_{0};
  microseconds tail_{0};
  microseconds mean_{0};
  run_class class_ = run_class::kShort;
};

}  // namespace egretrack::decision

#endif  // EGRETRACK_DECISION_KIND_PROFILE_H_
