#ifndef EGRETRACK_SCHEDULER_START_ORDER_H_
#define EGRETRACK_SCHEDULER_START_ORDER_H_

#include <tuple>

#include "egretrack/base/time.h"

// Order in which an agent starts its queued tasks. Load pattern: at a peak
// tasks of many entries wait for the same worker, and some of them can no
// longer be on time.
namespace egretrack::scheduler {

// A queued task at an agent, on the agent's clock.
struct queued_task {
  monotonic_time target{};
  monotonic_time virtual_deadline{};
  monotonic_time start_by{};
  monotonic_time received{};
  microseconds predicted{0};  // Run time.
};

// Sort key for starts: tasks that can still be on time go first, by their
// virtual deadline; late ones follow, by their start limit. Equal ones go in
// the order in which they were received.
using start_key = std::tuple<bool, monotonic_time, monotonic_time>;
start_key MakeStartKey(const queued_task& task, monotonic_time now);

}  // namespace egretrack::scheduler

#endif  // EGRETRACK_SCHEDULER_START_ORDER_H_
