#include <algorithm>
#include <utility>

#include "decision/entry_core_impl.h"

namespace egretrack::decision {
namespace {

// Longest wait after the deadline for the answers to its queries.
constexpr microseconds kSettleBound = milliseconds(500);
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

// A job is refused only when every task is known not to have run.
void Judge(const outcome_counts& counts,
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
  entry_job* job = jobs_.FindSequence(sequence);
  if (job == nullptr || job->life.ended())
    return;
  if (job->life.phase() == job_phase::kBinding) {
    EndUnsent(*job, job_outcome::kOutcomeUnknown, job_errc::kKeyOutcomeUnknown);
    return;
  }
  Close(*job, job_errc::kDeadlinePassed);
  if (job->life.ended())
    return;
  for (task_index i = 0; i < job->tasks.size(); ++i) {
    if (job->tasks[i].phase == task_phase::kOutstanding)
      Query(*job, i);
  }
  timers_.Add(now_ + kSettleBound, {&entry_core_impl::OnSettleBound, sequence});
}

void entry_core_impl::OnSettleBound(std::uint64_t sequence) {
  entry_job* job = jobs_.FindSequence(sequence);
  if (job == nullptr || job->life.ended())
    return;
  for (task_index i = 0; i < job->tasks.size(); ++i) {
    entry_task& task = job->tasks[i];
    if (task.phase != task_phase::kOutstanding)
      continue;
    if (task.trial)
      task.holder->health.AbandonTrial();
    EndDispatch(*job, i);
    MarkSettled(*job, i, task_outcome::kUnknown);
  }
  EndIfSettled(*job);
}

void entry_core_impl::RunWatches(std::deque<watch>& watches) {
  while (!watches.empty() && watches.front().at <= now_) {
    const watch due = watches.front();
    watches.pop_front();
    entry_job* job = jobs_.FindSequence(due.job);
    if (job == nullptr || job->life.ended())
      continue;
    entry_task& task = job->tasks[due.task];
    if (task.phase != task_phase::kOutstanding || task.dispatch != due.dispatch)
      continue;
    if (!task.counts_long && job->kind->profile.IsStraggler(now_ - task.sent)) {
      task.counts_long = true;
      ++task.holder->long_outstanding;
    }
    Query(*job, due.task);
    later_watches_.push_back(
        {now_ + kQueryInterval, due.job, due.task, due.dispatch});
  }
}

void entry_core_impl::Query(const entry_job& job, task_index task) {
  const entry_agent& agent = *job.tasks[task].holder;
  if (!agent.life.reachable())
    return;
  ++counters_.queries;
  Send(agent, wire::task_query{job.id, task,
                               static_cast<std::uint32_t>(job.task_count),
                               job.tasks[task].dispatch});
}

// Ends the dispatch of a task, whatever came of it.
void entry_core_impl::EndDispatch(entry_job& job, task_index task) {
  job.tasks[task].holder->RemoveOutstanding(job, task);
  --job.kind->outstanding;
  --job.outstanding;
  job.quota->AddRunning(-1);
  if (!quota_blocked_)
    return;
  quota_blocked_ = false;
  ServeAll();
}

void entry_core_impl::MarkSettled(entry_job& job,
                                  task_index index,
                                  task_outcome outcome) {
  entry_task& task = job.tasks[index];
  // An earlier attempt may have run, so this refusal says nothing about it.
  if (outcome == task_outcome::kNotRun && task.may_have_run)
    outcome = task_outcome::kUnknown;
  task.phase = task_phase::kSettled;
  task.outcome = outcome;
  ++job.settled;
}

void entry_core_impl::Settle(entry_job& job,
                             task_index task,
                             task_outcome outcome) {
  MarkSettled(job, task, outcome);
  // One failed task fails the job; the rest would run in vain.
  if (outcome != task_outcome::kFinished)
    CloseQueue(job, job_errc::kTaskFailed);
  EndIfSettled(job);
}

void entry_core_impl::SettleUnknown(entry_job& job, task_index task) {
  if (!MayRetry(job) || !retries_.TryAcquireRetry(now_)) {
    Settle(job, task, task_outcome::kUnknown);
    return;
  }
  ++counters_.retries;
  job.tasks[task].may_have_run = true;
  ReturnToQueue(job, task);
}

bool entry_core_impl::MayRetry(const entry_job& job) {
  return job.idempotent && job.task_count == 1 && job.life.open();
}

void entry_core_impl::Close(entry_job& job, std::error_code code) {
  CloseQueue(job, code);
  EndIfSettled(job);
}

// Queued tasks were never sent, or an agent refused them for good.
void entry_core_impl::CloseQueue(entry_job& job, std::error_code code) {
  if (!job.life.Apply(job_signal::kClose))
    return;
  job.close_code = code;
  LeaveQueue(job);
  for (task_index i = 0; i < job.tasks.size(); ++i) {
    if (job.tasks[i].phase == task_phase::kQueued)
      MarkSettled(job, i, task_outcome::kNotRun);
  }
}

void entry_core_impl::LeaveQueue(entry_job& job) {
  const std::size_t tasks = job.queued();
  job.kind->queue.AdjustTasks(job, -static_cast<int>(tasks));
  job.kind->queue.Remove(job);
  job.quota->AddQueued(-static_cast<int>(tasks));
  job.kind->queued_tasks -= tasks;
  queued_tasks_ -= tasks;
  job.next_fresh = job.tasks.size();
  job.returned.clear();
}

// Ends a job whose idempotency key was not bound, so that nothing was sent.
void entry_core_impl::EndUnsent(entry_job& job,
                                job_outcome outcome,
                                job_errc code) {
  auto answer = std::make_shared<job_answer>();
  answer->id = job.id;
  answer->outcome = outcome;
  answer->code = code;
  // An earlier job with the same key may have run these tasks.
  const task_outcome each = outcome == job_outcome::kRefused
                                ? task_outcome::kNotRun
                                : task_outcome::kUnknown;
  answer->tasks.assign(job.task_count, {each, {}});
  Finish(job, std::move(answer));
}

void entry_core_impl::EndIfSettled(entry_job& job) {
  if (job.life.ended() || job.settled != job.task_count)
    return;
  auto answer = std::make_shared<job_answer>();
  answer->id = job.id;
  Judge(Count(job.tasks), job.close_code, *answer);
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
  job.life.Apply(job_signal::kEnd);
  jobs_.End(job, now_);
  const job_outcome outcome = answer->outcome;
  job.answer = std::move(answer);
  job.tasks = {};
  job.next_fresh = 0;
  const std::vector<job_caller> callers = std::move(job.callers);
  for (const job_caller& caller : callers)
    Answer(caller.token, job.answer);
  job_ended ended;
  ended.desk = job.kind->object.desk;
  ended.kind = job.kind->object.name;
  ended.outcome = outcome;
  ended.code = job.answer->code;
  ended.on_time = outcome == job_outcome::kAnswered && now_ <= job.deadline;
  ended.response = now_ - job.submitted;
  ended.task_count = job.task_count;
  Emit(std::move(ended));
}

// One message for each agent that holds tasks of the job.
void entry_core_impl::CancelAtAgents(const entry_job& job) {
  std::vector<const entry_agent*> told;
  for (const entry_task& task : job.tasks) {
    if (task.phase != task_phase::kOutstanding ||
        !task.holder->life.reachable()) {
      continue;
    }
    if (std::find(told.begin(), told.end(), task.holder) != told.end())
      continue;
    told.push_back(task.holder);
    Send(*task.holder, wire::job_cancel{job.id});
  }
}

}  // namespace egretrack::decision
