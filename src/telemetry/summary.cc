#include "telemetry/summary.h"

#include <algorithm>
#include <cmath>

namespace egretrack::telemetry {
namespace {

namespace acc = boost::accumulators;

// Indexed by quantile.
constexpr std::array kProbabilities{0.5, 0.99};

// Number of observations up to which quantiles are exact. Until its markers
// have moved apart, P-square returns observations in order of arrival. With 100
// observations, the nearest rank of p99 is defined.
constexpr std::size_t kExactCount = 100;

}  // namespace

summary::summary()
    : statistics_(acc::extended_p_square_probabilities = kProbabilities) {}

void summary::Add(double value) {
  if (!std::isfinite(value))
    return;
  statistics_(value);
  if (count() <= kExactCount)
    exact_values_.push_back(value);
  else if (!exact_values_.empty())
    std::vector<double>().swap(exact_values_);
}

std::size_t summary::count() const {
  return acc::count(statistics_);
}

double summary::mean() const {
  return count() == 0 ? 0 : acc::mean(statistics_);
}

double summary::maximum() const {
  return count() == 0 ? 0 : acc::max(statistics_);
}

double summary::Quantile(quantile which) const {
  const auto index = static_cast<std::size_t>(which);
  if (count() == 0)
    return 0;
  if (exact_values_.empty())
    return *(acc::extended_p_square(statistics_).begin() +
             static_cast<std::ptrdiff_t>(index));
  std::vector<double> sorted = exact_values_;
  std::sort(sorted.begin(), sorted.end());
  const double rank =
      std::ceil(kProbabilities[index] * static_cast<double>(sorted.size()));
  return sorted[static_cast<std::size_t>(rank) - 1];
}

}  // namespace egretrack::telemetry
