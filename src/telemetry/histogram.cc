#include "telemetry/histogram.h"

#include <algorithm>
#include <numeric>

namespace egretrack::telemetry {

void histogram::Add(microseconds value) {
  ++count_;
  sum_ += value;
  const auto bound = std::ranges::lower_bound(kUpperBounds, value);
  if (bound != kUpperBounds.end())
    ++counts_[static_cast<std::size_t>(bound - kUpperBounds.begin())];
}

std::uint64_t histogram::CountUpTo(std::size_t index) const {
  return std::accumulate(
      counts_.begin(), counts_.begin() + static_cast<std::ptrdiff_t>(index) + 1,
      std::uint64_t{0});
}

}  // namespace egretrack::telemetry
