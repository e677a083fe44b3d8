#include "decision/task_records.h"

#include <algorithm>
#include <utility>

namespace egretrack::decision {
namespace {

// Refusals may use 1/16 beyond the maximum, so that a full table can still
// record and send refusals for a while.
constexpr std::size_t kRefusalReserveDivisor = 16;

}  // namespace

task_records::task_records(std::size_t max_records, seconds retention)
    : max_records_(max_records),
      refusal_reserve_(
          std::max<std::size_t>(1, max_records / kRefusalReserveDivisor)),
      retention_(retention) {}

agent_task_record* task_records::Find(const job_id& job, task_index task) {
  job_tasks& tasks = TasksOf(job);
  const auto found = tasks.find(task);
  return found == tasks.end() ? nullptr : &found->second;
}

task_records::job_tasks& task_records::TasksOf(const job_id& job) {
  const auto found = jobs_.find(job);
  return found == jobs_.end() ? empty_tasks_ : found->second.tasks;
}

agent_task_record* task_records::Add(const job_id& job,
                                     task_index task,
                                     record_kind kind) {
  if (agent_task_record* refused = Find(job, task)) {
    *refused = agent_task_record{};
    return refused;
  }
  const std::size_t extra =
      kind == record_kind::kRefusal ? refusal_reserve_ : 0;
  if (size_ >= max_records_ + extra)
    return nullptr;
  ++size_;
  return &jobs_[job].tasks[task];
}

void task_records::CloseTask(const job_id& job,
                             task_index task,
                             monotonic_time now) {
  const dispatch_number dispatch = Find(job, task)->dispatch;
  expiries_.push_back({now + retention_, job, closed_task_key{task, dispatch}});
}

void task_records::Cancel(const job_id& job, monotonic_time now) {
  if (size_ >= max_records_ + refusal_reserve_ || IsCancelled(job))
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
    RemoveExpired(expiries_.front());
    expiries_.pop_front();
  }
}

void task_records::RemoveExpired(const expiry& due) {
  const auto found = jobs_.find(due.job);
  if (found == jobs_.end() || !EraseRecord(found->second, due))
    return;
  --size_;
  has_expired_records_ = true;
  if (found->second.tasks.empty() && !found->second.cancelled)
    jobs_.erase(found);
}

// Returns false when the record was replaced after this expiry was scheduled.
bool task_records::EraseRecord(job_record& job, const expiry& due) {
  if (!due.task)
    return std::exchange(job.cancelled, false);
  const auto record = job.tasks.find(due.task->task);
  if (record == job.tasks.end() ||
      record->second.dispatch != due.task->dispatch)
    return false;
  job.tasks.erase(record);
  return true;
}

}  // namespace egretrack::decision
