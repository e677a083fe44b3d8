#ifndef EGRETRACK_TELEMETRY_METRICS_H_
#define EGRETRACK_TELEMETRY_METRICS_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "egretrack/base/time.h"

// Metrics of one process in the Prometheus text format, with summaries computed
// by Boost.Accumulators. Owned by the control thread.
namespace egretrack::telemetry {

class metrics {
 public:
  static std::unique_ptr<metrics> Create();
  virtual ~metrics() = default;

  // `labels` has the form `kind="quote"` and is empty if there are none.
  virtual void SetCounter(std::string_view name,
                          std::string_view labels,
                          std::uint64_t value) = 0;
  virtual void SetGauge(std::string_view name,
                        std::string_view labels,
                        double value) = 0;
  // Adds one observation to a summary with count, mean, p50, p99 and maximum.
  virtual void Observe(std::string_view name,
                       std::string_view labels,
                       double value) = 0;
  // Adds one duration to a histogram with fixed buckets from 1 ms to 10 s.
  // `name` must end in _seconds.
  virtual void ObserveDuration(std::string_view name,
                               std::string_view labels,
                               microseconds value) = 0;
  virtual std::string ToText() const = 0;
};

}  // namespace egretrack::telemetry

#endif  // EGRETRACK_TELEMETRY_METRICS_H_
