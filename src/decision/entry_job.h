#ifndef EGRETRACK_DECISION_ENTRY_JOB_H_
#define EGRETRACK_DECISION_ENTRY_JOB_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "decision/fair_queue.h"
#include "decision/job_lifecycle.h"
#include "egretrack/base/ids.h"
#include "egretrack/decision/entry_core.h"
#include "egretrack/decision/outcome.h"

namespace egretrack::decision {

struct entry_agent;
struct kind_state;

enum class task_phase : std::uint8_t { kQueued, kOutstanding, kEnded };

// An agent incarnation to which a task is not dispatched before `until`.
struct exclusion {
  incarnation agent_incarnation{};
  monotonic_time until{};
};

struct entry_task {
  task_phase phase = task_phase::kQueued;
  task_outcome outcome = task_outcome::kPending;
  bool may_have_run = false;  // The outcome of an earlier attempt is unknown.
  bool counted_as_long = false;  // Uses a slot of the agent for long tasks.
  bool trial = false;            // Probes an ejected agent.
  dispatch_number dispatch{};
  entry_agent* assigned_agent = nullptr;  // While outstanding.
  std::size_t outstanding_index = 0;      // Position in the agent's list.
  monotonic_time sent_at{};
  std::vector<exclusion> excluded;
  std::string payload;
  std::string result;
};

struct job_caller {
  caller_token token{};
  bool forwarded = false;
};

// A job whose home is this entry.
struct entry_job : queue_item {
  job_id id;
  job_lifecycle lifecycle;
  kind_state* kind = nullptr;
  std::string team;
  bool idempotent = false;
  std::uint64_t content_hash = 0;
  monotonic_time submitted{};
  monotonic_time deadline{};
  std::error_code close_code;  // Why the queued tasks were not run.
  std::vector<entry_task> tasks;
  std::size_t task_count = 0;
  std::size_t next_unsent = 0;       // First task that was never dispatched.
  std::vector<task_index> returned;  // Queued again after a dispatch.
  std::size_t outstanding = 0;
  std::size_t ended_tasks = 0;
  std::vector<job_caller> callers;
  job_answer_ptr answer;

  std::size_t queued() const {
    return tasks.size() - next_unsent + returned.size();
  }
};

}  // namespace egretrack::decision

#endif  // EGRETRACK_DECISION_ENTRY_JOB_H_
