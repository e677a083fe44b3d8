#include "decision/task_records.h"

#include <algorithm>
#include <utility>

namespace egretrack::decision {
namespace {

// Refusals get a sixteenth on top of the bound, so that a full table still
// answers truthfully for a while.
constexpr std::size_t kReserveShare = 16;

}  // namespace

task_records::task_records(std::size_t max_records, seconds retention)
    : max_records_(max_records),
      reserve_(std::max<std::size_t>(1, max_records / kReserveShare)),
      retention_(retention) {}

kept_task* task_records::Find(const job_id& job, task_index task) {
  job_tasks& tasks = TasksOf(job);
  const auto found = tasks.find(task);
  return found == tasks.end() ? nullptr : &found->second;
}

task_records::job_tasks& task_records::TasksOf(const job_id& job) {
  const auto found = jobs_.find(job);
  return found == jobs_.end() ? no_tasks_ : found->second.tasks;
}

kept_task* task_records::Add(const job_id& job,
                             task_index task,
                             record_use use) {
  if (kept_task* refused = Find(job, task)) {
    *refused = kept_task{};
    return refused;
  }
  const std::size_t extra = use == record_use::kRefusal ? reserve_ : 0;
  if (size_ >= max_records_ + extra)
    return nullptr;
  ++size_;
  return &jobs_[job].tasks[task];
}

void task_records::CloseTask(const job_id& job,
                             task_index task,
                             monotonic_time now) {
  const dispatch_number dispatch = Find(job, task)->dispatch;
  expiries_.push_back({now + retention_, job, closed_task{task, dispatch}});
}

void task_records::Cancel(const job_id& job, monotonic_time now) {
  if (size_ >= max_records_ + reserve_ || IsCancelled(job))
    return;
  ++size_;
  jobs_[job].cancelled = true;
  expiries_.push_back({now + retention_, job, std::nullopt});
}

bool task_records::IsCancelled(const job_id& job) const {
  const auto found = jobs_.find(job);
  return found != jobs_.end() && found->second.cancelled;
}

void task_records::Expire(monotonic_time now) {
  while (!expiries_.empty() && expiries_.front().when <= now) {
    Forget(expiries_.front());
    expiries_.pop_front();
  }
}

void task_records::Forget(const expiry& due) {
  const auto found = jobs_.find(due.job);
  if (found == jobs_.end() || !Erase(found->second, due))
    return;
  --size_;
  has_forgotten_ = true;
  if (found->second.tasks.empty() && !found->second.cancelled)
    jobs_.erase(found);
}

// False when the record that this was the expiry of is gone.
bool task_records::Erase(job_node& node, const expiry& due) {
  if (!due.task)
    return std::exchange(node.cancelled, false);
  const auto kept = node.tasks.find(due.task->task);
  if (kept == node.tasks.end() || kept->second.dispatch != due.task->dispatch)
    return false;
  node.tasks.erase(kept);
  return true;
}

}  // namespace egretrack::decision
