#ifndef EGRETRACK_SRC_TELEMETRY_SUMMARY_H_
#define EGRETRACK_SRC_TELEMETRY_SUMMARY_H_

#include <array>
#include <cstddef>
#include <vector>

#include <boost/accumulators/framework/accumulator_set.hpp>
#include <boost/accumulators/framework/features.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>

namespace egretrack::telemetry {

enum class quantile : std::size_t { kMedian, kP99 };

// Count, mean, quantiles and maximum of a stream of values, in constant memory.
class summary {
 public:
  summary();

  // Ignores values that are not finite, because the mean would not recover from
  // one of them.
  void Add(double value);

  std::size_t count() const;
  double mean() const;
  double maximum() const;
  // Exact for the first observations, then estimated by extended P-square.
  double Quantile(quantile which) const;

 private:
  using statistics = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::features<
          boost::accumulators::tag::count,
          boost::accumulators::tag::mean,
          boost::accumulators::tag::max,
          boost::accumulators::tag::extended_p_square>>;

  statistics statistics_;
  std::vector<double> exact_values_;  // Empty once estimates are used.
};

}  // namespace egretrack::telemetry

#endif  // EGRETRACK_SRC_TELEMETRY_SUMMARY_H_
