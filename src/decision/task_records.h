#ifndef EGRETRACK_DECISION_TASK_RECORDS_H_
#define EGRETRACK_DECISION_TASK_RECORDS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

#include "decision/agent_lifecycles.h"
#include "decision/task_queue.h"
#include "egretrack/base/ids.h"
#include "egretrack/base/time.h"
#include "egretrack/decision/agent_core.h"
#include "egretrack/wire/messages.h"

namespace egretrack::decision {

// The agent's record of one task.
struct agent_task_record {
  task_lifecycle lifecycle;
  std::uint32_t task_count = 0;
  dispatch_number dispatch{};
  entry_index entry = 0;  // Receiver of the reports.
  wire::task_reason reason = wire::task_reason::kNone;
  queue_ticket ticket{};  // Only while held.
  monotonic_time arrived{};
  monotonic_time started{};
  microseconds run_time{0};
  std::string result;
};

// Whether a new record is for an accepted or for a refused task.
enum class record_kind : std::uint8_t { kAcceptance, kRefusal };

// Records of tasks and of cancelled jobs. A record is kept for the retention
// time after it was closed. No record is added once the maximum number is
// reached.
class task_records {
 public:
  using job_tasks = std::map<task_index, agent_task_record>;

  task_records(std::size_t max_records, seconds retention);

  // Returns nullptr if there is no record. Pointers stay valid until the record
  // expires.
  agent_task_record* Find(const job_id& job, task_index task);
  job_tasks& TasksOf(const job_id& job);

  // Adds a record, or replaces that of a refusal. Returns nullptr when the
  // table is full. Refusals may use a reserve beyond the maximum number of
  // records.
  agent_task_record* Add(const job_id& job, task_index task, record_kind kind);

  // Starts the retention time of a record that is final.
  void CloseTask(const job_id& job, task_index task, monotonic_time now);

  // Records the cancellation for the retention time unless the table is full.
  void Cancel(const job_id& job, monotonic_time now);
  bool IsCancelled(const job_id& job) const;

  void Expire(monotonic_time now);
  // False while no record has expired, so that a task without a record never
  // had one.
  bool has_expired_records() const { return has_expired_records_; }
  std::size_t size() const { return size_; }

 private:
  struct job_record {
    job_tasks tasks;
    bool cancelled = false;
  };
  struct closed_task_key {
    task_index task = 0;
    dispatch_number dispatch{};  // Differs if the record was replaced.
  };
  struct expiry {
    monotonic_time when{};
    job_id job;
    std::optional<closed_task_key> task;  // Empty for a cancelled job.
  };

  void RemoveExpired(const expiry& due);
  static bool EraseRecord(job_record& job, const expiry& due);

  const std::size_t max_records_;
  const std::size_t refusal_reserve_;
  const seconds retention_;
  std::size_t size_ = 0;
  bool has_expired_records_ = false;
  std::unordered_map<job_id, job_record> jobs_;
  // Ordered by time, because all records have the same retention time.
  std::deque<expiry> expiries_;
  job_tasks empty_tasks_;  // Result of TasksOf for unknown jobs.
};

}  // namespace egretrack::decision

#endif  // EGRETRACK_DECISION_TASK_RECORDS_H_
