#ifndef EGRETRACK_SCHEDULER_PLACEMENT_H_
#define EGRETRACK_SCHEDULER_PLACEMENT_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

#include "egretrack/base/time.h"

namespace egretrack::scheduler {

// A worker that may run a task, with what is predicted of it.
struct placement_candidate {
  std::size_t worker = 0;
  microseconds wait{0};  // Until it has room.
  microseconds run{0};
  bool preferred = true;  // Among the agents that the entry works with first.
  bool same_domain = false;
  std::int64_t free_cpu_milli = 0;
};

// Chooses the worker with the earliest predicted end; nothing when there is no
// candidate.
std::optional<placement_candidate> ChoosePlacement(
    std::span<const placement_candidate> candidates);

}  // namespace egretrack::scheduler

#endif  // EGRETRACK_SCHEDULER_PLACEMENT_H_
