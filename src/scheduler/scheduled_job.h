#ifndef EGRETRACK_SCHEDULER_SCHEDULED_JOB_H_
#define EGRETRACK_SCHEDULER_SCHEDULED_JOB_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "egretrack/scheduler/job_scheduler.h"
#include "scheduler/worker_view.h"

namespace egretrack::scheduler {

enum class task_phase : std::uint8_t {
  kBlocked,      // Steps before its own are not done.
  kWaiting,      // May be dispatched.
  kOutstanding,  // Dispatched, not reported yet.
  kDone,
};

struct scheduled_task {
  std::uint32_t step = 0;
  std::uint32_t index = 0;
  task_phase phase = task_phase::kBlocked;
  std::uint32_t attempt = 0;     // Dispatches so far.
  std::uint32_t failures = 0;    // Runs that failed at the worker.
  worker_view* agent = nullptr;  // Of the last dispatch.
  agent_session session;         // ... on which it was made.
  worker_view* avoid = nullptr;  // Gave it back or failed it last.
  worker_view* first_failure = nullptr;
  bool own_fault = false;  // Failed on two workers.
  bool trial = false;      // Tests an ejected worker.
  monotonic_time dispatched{};
  microseconds predicted{0};
};

struct scheduled_step {
  job_step spec;
  std::uint32_t first_task = 0;
  std::uint32_t not_done = 0;
  microseconds estimate{0};
};

// A job of an entry until it is answered.
struct scheduled_job {
  std::uint64_t number = 0;
  std::string key;      // "kind/job_key"; unique among the jobs that live.
  std::string job_key;  // The caller's name of the job.
  // Holds `kind`, also when a later configuration has dropped it.
  objects::configuration_ptr configuration;
  const objects::request_kind* kind = nullptr;
  caller_token caller{};
  std::string spec;
  monotonic_time accepted{};
  monotonic_time deadline{};
  monotonic_time target{};  // On time until then.
  std::vector<scheduled_step> steps;
  std::vector<scheduled_task> tasks;
  std::uint32_t not_done = 0;
  std::uint32_t waiting = 0;
  std::uint32_t outstanding = 0;
  std::optional<monotonic_time> first_dispatch;
  bool may_have_run = false;  // A run was lost, failed or done.
};

}  // namespace egretrack::scheduler

#endif  // EGRETRACK_SCHEDULER_SCHEDULED_JOB_H_
