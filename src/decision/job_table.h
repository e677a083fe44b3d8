#ifndef EGRETRACK_DECISION_JOB_TABLE_H_
#define EGRETRACK_DECISION_JOB_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <unordered_map>

#include "decision/entry_job.h"

namespace egretrack::decision {

// Record of a job that was refused at submission.
struct refusal_record {
  std::uint64_t content_hash = 0;
  job_answer_ptr answer;
};

// Records of the jobs whose home is this entry. A record is kept for the
// retention time after the answer. Refusals at submission are stored
// separately, so that an overload does not fill the table: at the maximum the
// oldest one is dropped, and a resubmission of that job is checked like a new
// submission.
class job_table {
 public:
  job_table(std::size_t max_jobs, microseconds retention)
      : max_jobs_(max_jobs), retention_(retention) {}

  bool full() const { return by_id_.size() >= max_jobs_; }

  entry_job& Add(std::unique_ptr<entry_job> job);
  void Remove(const entry_job& job);
  entry_job* Find(const job_id& id);
  entry_job* FindBySequence(std::uint64_t sequence);

  void AddRefusal(const job_id& id, refusal_record record, monotonic_time now);
  const refusal_record* FindRefusal(const job_id& id) const;

  // Counts an answered job as ended and starts its retention time.
  void MarkEnded(const entry_job& job, monotonic_time now);
  // Removes the records whose retention time is over.
  void Expire(monotonic_time now);

  std::size_t running() const { return running_; }

  template <typename Visitor>
  void ForEachRunning(Visitor visit) {
    for (auto& [sequence, job] : by_sequence_) {
      if (!job->lifecycle.ended())
        visit(*job);
    }
  }

 private:
  struct expiring_job {
    monotonic_time expires;
    std::uint64_t sequence;
  };
  struct expiring_refusal {
    monotonic_time expires;
    job_id id;
  };

  std::size_t max_jobs_;
  microseconds retention_;
  std::size_t running_ = 0;
  std::uint64_t last_sequence_ = 0;
  std::unordered_map<job_id, entry_job*> by_id_;
  std::unordered_map<std::uint64_t, std::unique_ptr<entry_job>> by_sequence_;
  std::unordered_map<job_id, refusal_record> refusals_;
  std::deque<expiring_job> expiring_jobs_;  // In order of expiry.
  std::deque<expiring_refusal> expiring_refusals_;
};

}  // namespace egretrack::decision

#endif  // EGRETRACK_DECISION_JOB_TABLE_H_
