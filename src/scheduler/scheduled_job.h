#ifndef EGRETRACK_SCHEDULER_SCHEDULED_JOB_H_
#define EGRETRACK_SCHEDULER_SCHEDULED_JOB_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "egretrack/scheduler/job_scheduler.h"
#include "scheduler/caller_presence.h"
#include "scheduler/worker_view.h"

namespace egretrack::scheduler {

enum class task_phase : std::uint8_t {
  kBlocked,      // Steps that it depends on are not done.
  kWaiting,      // May be dispatched.
  kOutstanding,  // Dispatched; the agent has not reported its end.
  kDone,
};

// The waits of a task with an affinity label for a near worker.
struct locality_state {
  microseconds wait_used{0};  // In queues of near workers that returned it.
  // As in locality_options; drawn once, so that a task that has waited in vain
  // does not wait again.
  std::optional<double> reluctance;
  // Of the last dispatch.
  bool far = false;
  bool waits = false;           // In the queue of a near worker.
  microseconds queue_bound{0};  // 0 without a label.
  microseconds far_end{0};      // Predicted end far, from the dispatch.
};

struct scheduled_task {
  std::uint32_t step = 0;
  std::uint32_t index = 0;
  task_phase phase = task_phase::kBlocked;
  std::uint32_t attempt = 0;     // Number of dispatches.
  std::uint32_t failures = 0;    // Runs that failed at the worker.
  worker_view* agent = nullptr;  // Of the last dispatch.
  agent_session session;         // Of the last dispatch.
  // The agent that last returned, failed or lost the task.
  worker_view* avoided_agent = nullptr;
  worker_view* first_failed_agent = nullptr;
  bool task_at_fault = false;  // Failed on two workers.
  bool is_trial = false;       // Tests an ejected worker.
  monotonic_time dispatched_at{};
  microseconds predicted_run_time{0};
  locality_state locality;
};

struct scheduled_step {
  job_step spec;
  std::uint32_t first_task = 0;
  std::uint32_t unfinished_tasks = 0;
  microseconds estimate{0};
};

// A job from its acceptance until its answer.
struct scheduled_job {
  std::uint64_t number = 0;
  std::string key;      // "kind/job_key"; unique among unanswered jobs.
  std::string job_key;  // Chosen by the caller.
  // Owns `kind`, which a later configuration may have removed.
  objects::configuration_ptr configuration;
  const objects::request_kind* kind = nullptr;
  caller_token caller{};
  caller_presence presence;  // Of `caller`.
  std::string spec;
  monotonic_time accepted_at{};
  monotonic_time deadline{};
  monotonic_time target{};  // The job is on time until then.
  std::vector<scheduled_step> steps;
  std::vector<scheduled_task> tasks;
  std::uint32_t unfinished_tasks = 0;
  std::uint32_t waiting = 0;
  std::uint32_t outstanding = 0;
  std::optional<monotonic_time> first_dispatch;
  bool may_have_run = false;  // A run was lost, failed or is done.
  std::size_t memory = 0;     // In bytes, see EstimateJobBytes().
};

}  // namespace egretrack::scheduler

#endif  // EGRETRACK_SCHEDULER_SCHEDULED_JOB_H_
