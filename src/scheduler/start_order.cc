#include "scheduler/start_order.h"

namespace egretrack::scheduler {

start_key MakeStartKey(const queued_task& task, monotonic_time now) {
  const bool late = now + task.predicted > task.target;
  return {late, late ? task.start_by : task.virtual_deadline, task.received};
}

}  // namespace egretrack::scheduler
