#ifndef EGRETRACK_SCHEDULER_START_ORDER_H_
#define EGRETRACK_SCHEDULER_START_ORDER_H_

#include <cstdint>
#include <map>
#include <tuple>

#include "egretrack/base/time.h"

// Order in which tasks get resources. Load pattern: at a peak long jobs of a
// low priority, small ones and short wide ones of the highest priority wait for
// the same workers, and jobs of which a part has run wait behind new ones.
namespace egretrack::scheduler {

// What the order of a job's tasks depends on, at its entry.
struct job_standing {
  monotonic_time accepted_at{};
  monotonic_time target{};
  std::uint32_t priority = 0;  // Of the request kind; 0 is the highest.
  // Estimated run time of all tasks, and of those that are done.
  microseconds work{0};
  microseconds done_work{0};
};

// Gives jobs their virtual deadlines, in whose order tasks are dispatched and
// started. They do not depend on the current time, so that a job moves forward
// while later ones arrive.
class start_order {
 public:
  // Learns the length of the jobs of a priority: the sum of the estimates along
  // the longest chain of their steps.
  void Observe(std::uint32_t priority, microseconds length);

  monotonic_time VirtualDeadline(const job_standing& job) const;

 private:
  struct mean_length {
    double mean_us = 0;
    std::uint32_t jobs = 0;
  };

  // How much longer the jobs of a priority are than those of the highest one.
  microseconds ExtraLength(std::uint32_t priority) const;

  std::map<std::uint32_t, mean_length> lengths_;  // By priority.
};

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
