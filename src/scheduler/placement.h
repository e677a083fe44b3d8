#ifndef EGRETRACK_SCHEDULER_PLACEMENT_H_
#define EGRETRACK_SCHEDULER_PLACEMENT_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

#include "egretrack/base/time.h"

namespace egretrack::scheduler {

// A worker that can run a task, with the predicted times of the task there.
struct placement_candidate {
  std::size_t view_index = 0;
  microseconds wait{0};  // Until the worker has free resources.
  microseconds run{0};
  bool preferred = true;  // The agent is one of the entry's preferred agents.
  bool same_domain = false;
  std::int64_t free_cpu_milli = 0;
  bool far = false;  // The worker lacks the task's affinity label.
};

// Predicted waits are too short: other entries dispatch to the same free
// resources before an agent's load report shows it.
inline constexpr double kWaitWeight = 4;
// Share of the predicted run time that must remain until the deadline when a
// task starts.
inline constexpr double kStartByShare = 0.5;

// Time until the predicted end, with the wait multiplied by `wait_weight`.
microseconds PredictedEnd(const placement_candidate& candidate,
                          double wait_weight);

// Chooses the worker with the earliest predicted end; std::nullopt if there is
// no candidate.
std::optional<placement_candidate> ChoosePlacement(
    std::span<const placement_candidate> candidates);

}  // namespace egretrack::scheduler

#endif  // EGRETRACK_SCHEDULER_PLACEMENT_H_
