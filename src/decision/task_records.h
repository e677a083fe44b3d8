#ifndef EGRETRACK_DECISION_TASK_RECORDS_H_
#define EGRETRACK_DECISION_TASK_RECORDS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

#include "decision/agent_life_cycles.h"
#include "decision/task_queue.h"
#include "egretrack/base/ids.h"
#include "egretrack/base/time.h"
#include "egretrack/decision/agent_core.h"
#include "egretrack/wire/messages.h"

namespace egretrack::decision {

// All that the agent keeps of one task.
struct kept_task {
  task_life_cycle cycle;
  std::uint32_t task_count = 0;
  dispatch_number dispatch{};
  entry_index entry = 0;  // Whom to report to.
  wire::task_reason reason = wire::task_reason::kNone;
  queue_ticket ticket{};  // Only while held.
  monotonic_time arrived{};
  monotonic_time started{};
  microseconds run_time{0};
  std::string result;
};

// Whether a new record allows a start, or only states a refusal.
enum class record_use : std::uint8_t { kWork, kRefusal };

// Records of tasks and of cancelled jobs. None is forgotten before the
// retention time has passed since it was closed; when the bound is reached, no
// record is added.
class task_records {
 public:
  using job_tasks = std::map<task_index, kept_task>;

  task_records(std::size_t max_records, seconds retention);

  // nullptr when there is none. Pointers stay valid until the record expires.
  kept_task* Find(const job_id& job, task_index task);
  job_tasks& TasksOf(const job_id& job);

  // Adds a record, or a fresh one in place of a refusal; nullptr when there is
  // no room. Refusals may use a reserve beyond the bound.
  kept_task* Add(const job_id& job, task_index task, record_use use);

  // Starts the retention time of a record that will not change any more.
  void CloseTask(const job_id& job, task_index task, monotonic_time now);

  // Remembers the cancellation for the retention time, if there is room.
  void Cancel(const job_id& job, monotonic_time now);
  bool IsCancelled(const job_id& job) const;

  void Expire(monotonic_time now);
  // False as long as a task without a record surely never had one.
  bool has_forgotten() const { return has_forgotten_; }
  std::size_t size() const { return size_; }

 private:
  struct job_node {
    job_tasks tasks;
    bool cancelled = false;
  };
  struct closed_task {
    task_index task = 0;
    dispatch_number dispatch{};  // Another one: the record was replaced.
  };
  struct expiry {
    monotonic_time when{};
    job_id job;
    std::optional<closed_task> task;  // Absent: the cancellation of the job.
  };

  void Forget(const expiry& due);
  static bool Erase(job_node& node, const expiry& due);

  const std::size_t max_records_;
  const std::size_t reserve_;
  const seconds retention_;
  std::size_t size_ = 0;
  bool has_forgotten_ = false;
  std::unordered_map<job_id, job_node> jobs_;
  // In order of time, because the retention time is the same for all.
  std::deque<expiry> expiries_;
  job_tasks no_tasks_;  // Always empty.
};

}  // namespace egretrack::decision

#endif  // EGRETRACK_DECISION_TASK_RECORDS_H_
