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

enum class task_phase : std::uint8_t { kQueued, kOutstanding, kSettled };

// An agent that a task is not sent to for now.
struct exclusion {
  incarnation agent_incarnation{};
  monotonic_time until{};
};

struct entry_task {
  task_phase phase = task_phase::kQueued;
  task_outcome outcome = task_outcome::kPending;
  bool may_have_run = false;  // An earlier attempt had an unknown outcome.
  bool counts_long = false;   // Occupies a slot for long work.
  bool trial = false;         // Tests an ejected agent.
  dispatch_number dispatch{};
  entry_agent* holder = nullptr;  // While outstanding.
  std::size_t holder_slot = 0;    // Position in the holder's list.
  monotonic_time sent{};
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
  job_lifecycle life;
  kind_state* kind = nullptr;
  std::string team;
  bool idempotent = false;
  std::uint64_t content_hash = 0;
  monotonic_time submitted{};
  monotonic_time deadline{};
  std::error_code close_code;  // Why queued tasks are not run.
  std::vector<entry_task> tasks;
  std::size_t task_count = 0;
  std::size_t next_fresh = 0;        // First task that was never sent.
  std::vector<task_index> returned;  // Refused by an agent, queued again.
  std::size_t outstanding = 0;
  std::size_t settled = 0;
  std::vector<job_caller> callers;
  job_answer_ptr answer;

  std::size_t queued() const {
    return tasks.size() - next_fresh + returned.size();
  }
};

}  // namespace egretrack::decision

#endif  // EGRETRACK_DECISION_ENTRY_JOB_H_
