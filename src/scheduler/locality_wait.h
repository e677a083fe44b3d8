#ifndef EGRETRACK_SCHEDULER_LOCALITY_WAIT_H_
#define EGRETRACK_SCHEDULER_LOCALITY_WAIT_H_

#include <cstdint>
#include <string_view>

#include "egretrack/base/time.h"
#include "scheduler/placement.h"

// How long a wait for a worker near a task's data pays. Load pattern: up to
// 63 % of a request kind need the data of one rack, and run 1.5 to 3 times as
// long on other workers.
namespace egretrack::scheduler {

enum class locality_decision : std::uint8_t {
  kNearNow,   // A near worker has free resources.
  kNearWait,  // The task waits in the queue of a near worker.
  kFarNow,
};

// Name in the event log, for example "near_wait".
std::string_view Name(locality_decision decision);

struct locality_options {
  placement_candidate near;  // The best worker with the label.
  placement_candidate far;   // The best worker without it.
  microseconds time_to_target{0};
  microseconds time_to_deadline{0};
  microseconds wait_used{0};  // Earlier waits of the task in near queues.
  // From 0 to 1. Differs between tasks, so that not all of them leave a full
  // rack at the same time.
  double reluctance = 0;
};

struct locality_plan {
  locality_decision decision = locality_decision::kFarNow;
  // How long a wait in the near worker's queue pays.
  microseconds longest_wait{0};
  // Predicted end far less predicted end near; negative if far is earlier.
  microseconds gain{0};
};

locality_plan DecideLocality(const locality_options& options);

// Bound of the task's wait in the queue of the chosen worker. `usual_bound`
// is that of a task without a label.
microseconds QueueBoundByPlan(const locality_plan& plan,
                              microseconds usual_bound);

// Evenly spread values of locality_options::reluctance, also over few tasks.
class reluctance_sequence {
 public:
  // Entries with different names begin at different values.
  explicit reluctance_sequence(std::string_view entry);
  double Next();

 private:
  double last_ = 0;
};

}  // namespace egretrack::scheduler

#endif  // EGRETRACK_SCHEDULER_LOCALITY_WAIT_H_
