#ifndef EGRETRACK_STANDINS_WORKLOAD_H_
#define EGRETRACK_STANDINS_WORKLOAD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "egretrack/base/result.h"
#include "egretrack/base/time.h"

namespace egretrack::standins {

inline constexpr std::string_view kShortKind = "short-work";
inline constexpr std::string_view kLongKind = "long-work";

// One job of a workload. `at` and `cancel_at` are relative to the start of the
// workload; run times are those at an endpoint of speed 1.
struct arrival {
  microseconds at{0};
  std::string kind;
  milliseconds deadline{0};  // Relative to `at`.
  std::vector<milliseconds> run_times;
  std::optional<microseconds> cancel_at;
};

struct workload_options {
  // Offered load as a fraction of `capacity`, outside of load peaks.
  double load = 0.8;
  double capacity = 100;  // Sum of the speeds of all slots.
  seconds duration{10};
  std::uint64_t seed = 1;
};

// Returns arrivals in order of time; equal options give equal arrivals. Names:
// steady, crest, stragglers, mixed, failing-worker, wrong-declarations,
// cancellations. Errors: errc::kNotFound for an unknown name.
result<std::vector<arrival>> MakeWorkload(std::string_view name,
                                          const workload_options& options);

}  // namespace egretrack::standins

#endif  // EGRETRACK_STANDINS_WORKLOAD_H_
