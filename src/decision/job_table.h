#ifndef EGRETRACK_DECISION_JOB_TABLE_H_
#define EGRETRACK_DECISION_JOB_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <unordered_map>

#include "decision/entry_job.h"

namespace egretrack::decision {

// What remains of a job that was refused at once.
struct refusal_record {
  std::uint64_t content_hash = 0;
  job_answer_ptr answer;
};

// Records of the jobs whose home is this entry. A job's record is kept for the
// retention time after its answer. Refusals at submission are kept apart, so
// that an overload does not fill the table: when there are too many, the
// oldest is forgotten, and a resubmission of that job is judged anew.
class job_table {
 public:
  job_table(std::size_t max_jobs, microseconds retention)
      : max_jobs_(max_jobs), retention_(retention) {}

  bool full() const { return by_id_.size() >= max_jobs_; }

  entry_job& Add(std::unique_ptr<entry_job> job);
  void Remove(const entry_job& job);
  entry_job* Find(const job_id& id);
  entry_job* FindSequence(std::uint64_t sequence);

  void AddRefusal(const job_id& id, refusal_record record, monotonic_time now);
  const refusal_record* FindRefusal(const job_id& id) const;

  // The job was answered: counts it as ended and starts its retention time.
  void End(const entry_job& job, monotonic_time now);
  // Forgets what is past its retention time.
  void Expire(monotonic_time now);

  std::size_t running() const { return running_; }

  template <typename Visitor>
  void ForEachRunning(Visitor visit) {
    for (auto& [sequence, job] : by_sequence_) {
      if (!job->life.ended())
        visit(*job);
    }
  }

 private:
  struct ended_job {
    monotonic_time expires;
    std::uint64_t sequence;
  };
  struct ended_refusal {
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
  std::deque<ended_job> ended_;  // In order of expiry.
  std::deque<ended_refusal> ended_refusals_;
};

}  // namespace egretrack::decision

#endif  // EGRETRACK_DECISION_JOB_TABLE_H_
