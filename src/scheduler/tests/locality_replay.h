#ifndef EGRETRACK_SCHEDULER_TESTS_LOCALITY_REPLAY_H_
#define EGRETRACK_SCHEDULER_TESTS_LOCALITY_REPLAY_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "scheduler/locality_wait.h"

namespace egretrack::scheduler {

// Load on 4 racks of 4 workers with 4 places each. Every task has the label of
// one rack.
struct replay_load {
  std::string name;
  double far_factor = 3;
  // Demand as a share of the places, at near run times.
  double hot_rack_load = 0;
  double other_load = 0;
  milliseconds run{60};
  std::optional<double> hot_rack_peak;  // For 1 s of every 4 s.
  int tasks_per_job = 1;                // Of one entry, at one moment.
  bool overloaded = false;  // Near and far places are too few together.
};

struct replay_result {
  double worth = 0;  // Mean over tasks: 1 on time, 0.2 late, 0 too late.
  double far_share = 0;
  double returns_per_task = 0;
  // Largest number of tasks that left the queues of the hot rack within 10 ms.
  int largest_return_burst = 0;
};

// Replays 8 s of the load with four entries whose views are up to 30 ms old,
// with run times off by 40 % and 3 % stragglers. `decide` is the strategy.
replay_result ReplayLocality(
    const replay_load& load,
    const std::function<locality_plan(const locality_options&)>& decide,
    std::uint64_t seed);

}  // namespace egretrack::scheduler

#endif  // EGRETRACK_SCHEDULER_TESTS_LOCALITY_REPLAY_H_
