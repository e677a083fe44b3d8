#ifndef EGRETRACK_SRC_TELEMETRY_HISTOGRAM_H_
#define EGRETRACK_SRC_TELEMETRY_HISTOGRAM_H_

#include <array>
#include <cstdint>

#include "egretrack/base/time.h"

namespace egretrack::telemetry {

// Histogram of durations with fixed buckets, in constant memory.
class histogram {
 public:
  // Inclusive upper bounds of the buckets, about a factor of two apart.
  static constexpr std::array<milliseconds, 13> kUpperBounds{
      milliseconds(1),    milliseconds(2),    milliseconds(5),
      milliseconds(10),   milliseconds(20),   milliseconds(50),
      milliseconds(100),  milliseconds(200),  milliseconds(500),
      milliseconds(1000), milliseconds(2000), milliseconds(5000),
      milliseconds(10000)};

  void Add(microseconds value);

  // Number of values at or below kUpperBounds[index].
  std::uint64_t CountUpTo(std::size_t index) const;
  std::uint64_t count() const { return count_; }
  microseconds sum() const { return sum_; }

 private:
  // Per bucket, not cumulative.
  std::array<std::uint64_t, kUpperBounds.size()> counts_{};
  std::uint64_t count_ = 0;
  microseconds sum_{0};
};

}  // namespace egretrack::telemetry

#endif  // EGRETRACK_SRC_TELEMETRY_HISTOGRAM_H_
