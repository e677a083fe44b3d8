#include "decision/entry_agent.h"

#include <algorithm>

namespace egretrack::decision {

void entry_agent::AddOutstanding(entry_job& job, task_index task) {
  entry_task& held = job.tasks[task];
  held.holder = this;
  held.holder_slot = outstanding.size();
  outstanding.push_back({&job, task});
  long_outstanding += held.counts_long ? 1 : 0;
}

void entry_agent::RemoveOutstanding(entry_job& job, task_index task) {
  entry_task& held = job.tasks[task];
  const outstanding_task last = outstanding.back();
  outstanding[held.holder_slot] = last;
  last.job->tasks[last.task].holder_slot = held.holder_slot;
  outstanding.pop_back();
  held.holder = nullptr;
  long_outstanding -= held.counts_long ? 1 : 0;
  held.counts_long = false;
}

double entry_agent::load() const {
  return static_cast<double>(outstanding.size()) /
         static_cast<double>(std::max(slots, 1U));
}

}  // namespace egretrack::decision
