#include "decision/entry_agent.h"

#include <algorithm>

namespace egretrack::decision {

void entry_agent::AddOutstanding(entry_job& job, task_index task) {
  entry_task& added = job.tasks[task];
  added.assigned_agent = this;
  added.outstanding_index = outstanding.size();
  outstanding.push_back({&job, task});
  long_outstanding += added.counted_as_long ? 1 : 0;
}

void entry_agent::RemoveOutstanding(entry_job& job, task_index task) {
  entry_task& removed = job.tasks[task];
  const outstanding_task moved = outstanding.back();
  outstanding[removed.outstanding_index] = moved;
  moved.job->tasks[moved.task].outstanding_index = removed.outstanding_index;
  outstanding.pop_back();
  removed.assigned_agent = nullptr;
  long_outstanding -= removed.counted_as_long ? 1 : 0;
  removed.counted_as_long = false;
}

double entry_agent::load() const {
  return static_cast<double>(outstanding.size()) /
         static_cast<double>(std::max(slots, 1U));
}

}  // namespace egretrack::decision
