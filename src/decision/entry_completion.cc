#include <algorithm>
#include <utility>

#include "decision/entry_core_impl.h"

namespace egretrack::decision {
namespace {

// After a job's deadline, the entry waits this long for replies to the queries
// of the outstanding tasks.
constexpr microseconds kQueryTimeout = milliseconds(500);
constexpr microseconds kQueryInterval = seconds(1);

struct outcome_counts {
  std::size_t finished = 0;
  std::size_t not_run = 0;
  std::size_t failed = 0;
  std::size_t unknown = 0;
};

outcome_counts Count(const std::vector<entry_task>& tasks) {
  outcome_counts counts;
  for (const entry_task& task : tasks) {
    counts.finished += task.outcome == task_outcome::kFinished ? 1 : 0;
    counts.not_run += task.outcome == task_outcome::kNotRun ? 1 : 0;
    counts.failed += task.outcome == task_outcome::kFailed ? 1 : 0;
    counts.unknown += task.outcome == task_outcome::kUnknown ? 1 : 0;
  }
  return counts;
}

// Sets the outcome and error code of a job. A job is refused only if every task
// is known not to have run.
void SetOutcome(const outcome_counts& counts,
                std::error_code close_code,
                job_answer& answer) {
  const std::size_t all =
      counts.finished + counts.not_run + counts.failed + counts.unknown;
  if (counts.finished == all) {
    answer.outcome = job_outcome::kAnswered;
  } else if (counts.not_run == all) {
    answer.outcome = job_outcome::kRefused;
    answer.code = close_code;
  } else if (counts.failed > 0) {
    answer.outcome = job_outcome::kFailed;
    answer.code = job_errc::kTaskFailed;
  } else if (counts.unknown > 0) {
    answer.outcome = job_outcome::kOutcomeUnknown;
    answer.code = job_errc::kTaskUnknown;
  } else {
    answer.outcome = job_outcome::kFailed;
    answer.code = close_code;
  }
}

}  // namespace

void entry_core_impl::OnDeadline(std::uint64_t sequence) {
  entry_job* job = jobs_.FindBySequence(sequence);
  if (job == nullptr || job->lifecycle.ended())
    return;
  if (job->lifecycle.phase() == job_phase::kBinding) {
    EndUndispatched(*job, job_outcome::kOutcomeUnknown,
                    job_errc::kKeyOutcomeUnknown);
    return;
  }
  CloseJob(*job, job_errc::kDeadlinePassed);
  if (job->lifecycle.ended())
    return;
  for (task_index i = 0; i < job->tasks.size(); ++i) {
    if (job->tasks[i].phase == task_phase::kOutstanding)
      QueryTask(*job, i);
  }
  timers_.Add(now_ + kQueryTimeout,
              {&entry_core_impl::OnQueryTimeout, sequence});
}

void entry_core_impl::OnQueryTimeout(std::uint64_t sequence) {
  entry_job* job = jobs_.FindBySequence(sequence);
  if (job == nullptr || job->lifecycle.ended())
    return;
  for (task_index i = 0; i < job->tasks.size(); ++i) {
    entry_task& task = job->tasks[i];
    if (task.phase != task_phase::kOutstanding)
      continue;
    if (task.trial)
      task.assigned_agent->health.AbandonTrial();
    EndDispatch(*job, i);
    SetTaskOutcome(*job, i, task_outcome::kUnknown);
  }
  EndIfAllTasksEnded(*job);
}

void entry_core_impl::RunTaskChecks(std::deque<task_check>& checks) {
  while (!checks.empty() && checks.front().due <= now_) {
    const task_check check = checks.front();
    checks.pop_front();
    entry_job* job = jobs_.FindBySequence(check.job_sequence);
    if (job == nullptr || job->lifecycle.ended())
      continue;
    entry_task& task = job->tasks[check.task];
    if (task.phase != task_phase::kOutstanding ||
        task.dispatch != check.dispatch)
      continue;
    if (!task.counted_as_long &&
        job->kind->profile.IsStraggler(now_ - task.sent_at)) {
      task.counted_as_long = true;
      ++task.assigned_agent->long_outstanding;
    }
    QueryTask(*job, check.task);
    repeated_checks_.push_back({now_ + kQueryInterval, check.job_sequence,
                                check.task, check.dispatch});
  }
}

void entry_core_impl::QueryTask(const entry_job& job, task_index task) {
  const entry_agent& agent = *job.tasks[task].assigned_agent;
  if (!agent.membership.reachable())
    return;
  ++counters_.queries;
  Send(agent, wire::task_query{job.id, task,
                               static_cast<std::uint32_t>(job.task_count),
                               job.tasks[task].dispatch});
}

// Ends the dispatch of a task with any outcome and frees its quota.
void entry_core_impl::EndDispatch(entry_job& job, task_index task) {
  job.tasks[task].assigned_agent->RemoveOutstanding(job, task);
  --job.kind->outstanding;
  --job.outstanding;
  job.quota->AddRunning(-1);
  if (!quota_blocked_)
    return;
  quota_blocked_ = false;
  MarkQueuedKindsReady();
}

void entry_core_impl::SetTaskOutcome(entry_job& job,
                                     task_index index,
                                     task_outcome outcome) {
  entry_task& task = job.tasks[index];
  // A refusal of this attempt does not exclude that an earlier one ran.
  if (outcome == task_outcome::kNotRun && task.may_have_run)
    outcome = task_outcome::kUnknown;
  task.phase = task_phase::kEnded;
  task.outcome = outcome;
  ++job.ended_tasks;
}

void entry_core_impl::EndTask(entry_job& job,
                              task_index task,
                              task_outcome outcome) {
  SetTaskOutcome(job, task, outcome);
  // A job without every result fails, so its remaining tasks need not run.
  if (outcome != task_outcome::kFinished)
    CloseQueuedTasks(job, job_errc::kTaskFailed);
  EndIfAllTasksEnded(job);
}

void entry_core_impl::RetryOrEndTask(entry_job& job, task_index task) {
  if (!MayRetry(job) || !retries_.TryAcquireRetry(now_)) {
    EndTask(job, task, task_outcome::kUnknown);
    return;
  }
  ++counters_.retries;
  job.tasks[task].may_have_run = true;
  ReturnToQueue(job, task);
}

bool entry_core_impl::MayRetry(const entry_job& job) {
  return job.idempotent && job.task_count == 1 && job.lifecycle.open();
}

void entry_core_impl::CloseJob(entry_job& job, std::error_code code) {
  CloseQueuedTasks(job, code);
  EndIfAllTasksEnded(job);
}

// Ends the queued tasks as not run: they were never dispatched, or an agent
// refused them and keeps a record of that.
void entry_core_impl::CloseQueuedTasks(entry_job& job, std::error_code code) {
  if (!job.lifecycle.Apply(job_event::kClose))
    return;
  job.close_code = code;
  RemoveFromQueue(job);
  for (task_index i = 0; i < job.tasks.size(); ++i) {
    if (job.tasks[i].phase == task_phase::kQueued)
      SetTaskOutcome(job, i, task_outcome::kNotRun);
  }
}

void entry_core_impl::RemoveFromQueue(entry_job& job) {
  const std::size_t tasks = job.queued();
  job.kind->queue.AdjustTasks(job, -static_cast<int>(tasks));
  job.kind->queue.Remove(job);
  job.quota->AddQueued(-static_cast<int>(tasks));
  job.kind->queued_tasks -= tasks;
  queued_tasks_ -= tasks;
  job.next_unsent = job.tasks.size();
  job.returned.clear();
}

// Ends a job whose idempotency key was not bound, and of which no task was
// dispatched.
void entry_core_impl::EndUndispatched(entry_job& job,
                                      job_outcome outcome,
                                      job_errc code) {
  auto answer = std::make_shared<job_answer>();
  answer->id = job.id;
  answer->outcome = outcome;
  answer->code = code;
  // Unless the job was refused, an earlier job with the same key may have run
  // these tasks.
  const task_outcome each = outcome == job_outcome::kRefused
                                ? task_outcome::kNotRun
                                : task_outcome::kUnknown;
  answer->tasks.assign(job.task_count, {each, {}});
  Finish(job, std::move(answer));
}

void entry_core_impl::EndIfAllTasksEnded(entry_job& job) {
  if (job.lifecycle.ended() || job.ended_tasks != job.task_count)
    return;
  auto answer = std::make_shared<job_answer>();
  answer->id = job.id;
  SetOutcome(Count(job.tasks), job.close_code, *answer);
  answer->tasks.reserve(job.task_count);
  for (entry_task& task : job.tasks)
    answer->tasks.push_back({task.outcome, std::move(task.result)});
  Finish(job, std::move(answer));
}

void entry_core_impl::Finish(entry_job& job,
                             std::shared_ptr<job_answer> answer) {
  if (answer->code)
    answer->message =
        "job " + job.id.ToString() + ": " + answer->code.message();
  job.lifecycle.Apply(job_event::kEnd);
  jobs_.MarkEnded(job, now_);
  const job_outcome outcome = answer->outcome;
  job.answer = std::move(answer);
  job.tasks = {};
  job.next_unsent = 0;
  const std::vector<job_caller> callers = std::move(job.callers);
  for (const job_caller& caller : callers)
    Answer(caller.token, job.answer);
  job_ended ended;
  ended.desk = job.kind->config.desk;
  ended.kind = job.kind->config.name;
  ended.outcome = outcome;
  ended.code = job.answer->code;
  ended.on_time = outcome == job_outcome::kAnswered && now_ <= job.deadline;
  ended.response = now_ - job.submitted;
  ended.task_count = job.task_count;
  Emit(std::move(ended));
}

// Sends one cancellation to each agent with outstanding tasks of the job.
void entry_core_impl::CancelAtAgents(const entry_job& job) {
  std::vector<const entry_agent*> notified;
  for (const entry_task& task : job.tasks) {
    if (task.phase != task_phase::kOutstanding ||
        !task.assigned_agent->membership.reachable()) {
      continue;
    }
    if (std::find(notified.begin(), notified.end(), task.assigned_agent) !=
        notified.end())
      continue;
    notified.push_back(task.assigned_agent);
    Send(*task.assigned_agent, wire::job_cancel{job.id});
  }
}

}  // namespace egretrack::decision
