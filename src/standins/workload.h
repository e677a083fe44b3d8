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

// One job of a recorded load. Times are from the start of the load; run times
// are those of an endpoint of speed 1.
struct arrival {
  microseconds at{0};
  std::string kind;
  milliseconds deadline{0};  // After `at`.
  std::vector<milliseconds> run_times;
  std::optional<microseconds> cancel_at;
};

struct workload_options {
  // Offered work as a share of `capacity`; at a crest a multiple of it.
  double load = 0.8;
  double capacity = 100;  // Slots, each weighted with its speed.
  seconds duration{10};
  std::uint64_t seed = 1;
};

// Arrivals in order of time; the same for the same options. Names: steady,
// crest, stragglers, mixed, failing-worker, wrong-declarations, cancellations.
// Errors: errc::kNotFound for another name.
result<std::vector<arrival>> MakeWorkload(std::string_view name,
                                          const workload_options& options);

}  // namespace egretrack::standins

#endif  // EGRETRACK_STANDINS_WORKLOAD_H_
