#include "decision/job_table.h"

#include <utility>

namespace egretrack::decision {

entry_job& job_table::Add(std::unique_ptr<entry_job> job) {
  job->sequence = ++last_sequence_;
  entry_job& added = *job;
  by_id_.emplace(added.id, &added);
  by_sequence_.emplace(added.sequence, std::move(job));
  ++running_;
  return added;
}

void job_table::Remove(const entry_job& job) {
  if (!job.lifecycle.ended())
    --running_;
  by_id_.erase(job.id);
  by_sequence_.erase(job.sequence);
}

entry_job* job_table::Find(const job_id& id) {
  const auto found = by_id_.find(id);
  return found == by_id_.end() ? nullptr : found->second;
}

entry_job* job_table::FindBySequence(std::uint64_t sequence) {
  const auto found = by_sequence_.find(sequence);
  return found == by_sequence_.end() ? nullptr : found->second.get();
}

void job_table::AddRefusal(const job_id& id,
                           refusal_record record,
                           monotonic_time now) {
  refusals_.insert_or_assign(id, std::move(record));
  expiring_refusals_.push_back({now + retention_, id});
  if (expiring_refusals_.size() > max_jobs_) {
    refusals_.erase(expiring_refusals_.front().id);
    expiring_refusals_.pop_front();
  }
}

const refusal_record* job_table::FindRefusal(const job_id& id) const {
  const auto found = refusals_.find(id);
  return found == refusals_.end() ? nullptr : &found->second;
}

void job_table::MarkEnded(const entry_job& job, monotonic_time now) {
  --running_;
  expiring_jobs_.push_back({now + retention_, job.sequence});
}

void job_table::Expire(monotonic_time now) {
  while (!expiring_jobs_.empty() && expiring_jobs_.front().expires <= now) {
    if (const entry_job* job = FindBySequence(expiring_jobs_.front().sequence))
      Remove(*job);
    expiring_jobs_.pop_front();
  }
  while (!expiring_refusals_.empty() &&
         expiring_refusals_.front().expires <= now) {
    refusals_.erase(expiring_refusals_.front().id);
    expiring_refusals_.pop_front();
  }
}

}  // namespace egretrack::decision
