#include <algorithm>
#include <functional>
#include <utility>

#include "egretrack/base/event_table.h"
#include "egretrack/scheduler/members.h"
#include "scheduler/job_scheduler_impl.h"

namespace egretrack::scheduler {
namespace {

// How many entries work with an agent first; with as few entries as this all
// of them work with all agents.
constexpr std::size_t kEntriesPerAgent = 4;
constexpr std::size_t kFewestPreferred = 12;
// At most this share of the agents is ejected, so that a fault common to all
// does not leave none.
constexpr double kMaxEjectedShare = 0.5;

}  // namespace

// ---- Sessions -------------------------------------------------------------

void job_scheduler_impl::OnFrame(agent_frame& event) {
  worker_view& view = ViewOf(event);
  const agent_session session{event.frame.agent_incarnation,
                              event.frame.connection};
  const bool same_process =
      session.agent_incarnation == view.session.agent_incarnation;
  // A frame of an earlier connection that was held up on the way.
  if (same_process && session.connection < view.session.connection)
    return;
  if (session != view.session) {
    if (view.outstanding > 0)
      view.old_runs_end = view.last_sent + options_.lost_run_timeout;
    view.BeginSession(session);
    view.link = event.link;
    view.outgoing.clear();
    Record(decision_kind::kAgentFound, "",
           {{"agent", view.agent()},
            {"connection", static_cast<std::int64_t>(session.connection)},
            {"outstanding", std::int64_t{view.outstanding}}});
  } else if (event.link != view.link) {
    // The transport reconnected by itself and may have lost frames.
    view.link = event.link;
    wire::beat_reply reply;
    reply.reconnect = true;
    view.outgoing.emplace_back(std::move(reply));
    return;
  }
  view.ObserveLoad(event.frame.load, now_);
  view.silent = false;
  dispatch_again_ = true;
  using messages =
      event_table<wire::agent_run_message, &job_scheduler_impl::OnBeat,
                  &job_scheduler_impl::OnReport>;
  for (wire::agent_run_message& message : event.frame.messages)
    messages::Call(*this, message, view);
}

worker_view& job_scheduler_impl::ViewOf(agent_frame& event) {
  auto found = views_.find(event.frame.agent);
  if (found == views_.end()) {
    found = views_
                .emplace(event.frame.agent,
                         std::make_unique<worker_view>(event.frame.agent))
                .first;
    view_list_.push_back(found->second.get());
    ChoosePreferred();
  }
  return *found->second;
}

void job_scheduler_impl::ChoosePreferred() {
  std::vector<worker_view*> ranked = view_list_;
  std::ranges::sort(ranked, std::greater<>(), [this](const worker_view* view) {
    return RendezvousWeight(options_.entry, view->agent());
  });
  const std::size_t entries = std::max<std::size_t>(members_.size(), 1);
  const std::size_t share =
      (kEntriesPerAgent * ranked.size() + entries - 1) / entries;
  const std::size_t count = std::max(share, kFewestPreferred);
  for (std::size_t rank = 0; rank < ranked.size(); ++rank)
    ranked[rank]->preferred = rank < count;
}

void job_scheduler_impl::OnBeat(wire::agent_beat& message, worker_view& view) {
  wire::beat_reply reply;
  reply.sequence = message.sequence;
  reply.members_hash = members_hash_;
  if (message.members_hash != members_hash_)
    reply.members = members_;
  view.outgoing.emplace_back(std::move(reply));

  view.failure_domain = std::move(message.failure_domain);
  view.draining = message.draining;
  std::optional<wire::worker_facts> worker;
  if (!message.worker.empty())
    worker = std::move(message.worker.front());
  if (worker && view.worker && worker->id != view.worker->id) {
    run_times_.ForgetWorker(view.agent());
    view.health = {};
  }
  view.worker = std::move(worker);
  if (message.settled && view.old_runs_end)
    LoseRuns(view, false);
}

void job_scheduler_impl::CheckViews() {
  for (worker_view* view : view_list_) {
    if (!view->silent && now_ - view->heard > options_.agent_silence) {
      view->silent = true;
      Record(decision_kind::kAgentLost, "",
             {{"agent", view->agent()},
              {"silence_us", (now_ - view->heard).count()},
              {"outstanding", std::int64_t{view->outstanding}}});
    }
    if (view->old_runs_end && now_ >= *view->old_runs_end)
      LoseRuns(*view, false);
    const bool ended = view->silent && view->outstanding > 0 &&
                       now_ >= view->last_sent + options_.lost_run_timeout;
    if (ended)
      LoseRuns(*view, true);
  }
}

// Runs of earlier sessions, or all of the agent's, have surely ended.
void job_scheduler_impl::LoseRuns(worker_view& view, bool all) {
  view.old_runs_end.reset();
  struct lost_task {
    std::uint64_t job = 0;
    std::uint32_t task = 0;
  };
  std::vector<lost_task> lost;
  for (const auto& [number, job] : jobs_) {
    for (std::uint32_t task = 0; task < job->tasks.size(); ++task) {
      const scheduled_task& state = job->tasks[task];
      if (state.phase == task_phase::kOutstanding && state.agent == &view &&
          (all || state.session != view.session)) {
        lost.push_back({number, task});
      }
    }
  }
  for (const lost_task& each : lost) {
    const auto found = jobs_.find(each.job);
    if (found != jobs_.end())
      OnLost(*found->second, each.task, wire::run_reason::kEntrySilent);
  }
}

// ---- Reports --------------------------------------------------------------

void job_scheduler_impl::OnReport(wire::run_report& message,
                                  worker_view& view) {
  const auto found = jobs_.find(message.job);
  if (found == jobs_.end() || message.task >= found->second->tasks.size()) {
    ++counters_.late_reports;
    return;
  }
  scheduled_job& job = *found->second;
  const scheduled_task& task = job.tasks[message.task];
  const bool expected = task.phase == task_phase::kOutstanding &&
                        task.agent == &view && task.session == view.session &&
                        task.attempt == message.attempt;
  if (!expected) {
    ++counters_.late_reports;
    return;
  }
  switch (message.end) {
    case wire::run_end::kDone:
      return OnDone(job, message.task, message);
    case wire::run_end::kFailed:
      return OnFailed(job, message.task, message);
    case wire::run_end::kRefused:
      return OnReturned(job, message.task, message);
    case wire::run_end::kLost:
      return OnLost(job, message.task, message.reason);
  }
}

void job_scheduler_impl::EndOutstanding(scheduled_job& job,
                                        std::uint32_t task) {
  scheduled_task& ended = job.tasks[task];
  --job.outstanding;
  --outstanding_;
  --ended.agent->outstanding;
  ended.trial = false;
}

void job_scheduler_impl::OnDone(scheduled_job& job,
                                std::uint32_t task,
                                const wire::run_report& report) {
  scheduled_task& done = job.tasks[task];
  worker_view& view = *done.agent;
  EndOutstanding(job, task);
  run_times_.Observe(job.kind->name, view.machine_class(), view.agent(),
                     job.steps[done.step].estimate, report.ran);
  if (view.health.ejected())
    Record(decision_kind::kAgentReadmitted, "", {{"agent", view.agent()}});
  view.health.NoteSuccess();
  TaskDone(job, task);
}

// The worker is to blame unless the task fails elsewhere as well.
void job_scheduler_impl::JudgeFailure(worker_view& view, scheduled_task& task) {
  if (task.first_failure != nullptr && task.first_failure != &view &&
      !task.own_fault) {
    task.first_failure->health.Forgive();
    task.own_fault = true;
  }
  if (task.own_fault) {
    view.health.EndTrial();
    return;
  }
  task.first_failure = &view;
  const auto ejected = std::ranges::count_if(
      view_list_, [](const worker_view* v) { return v->health.ejected(); });
  const bool may_eject =
      static_cast<double>(ejected + 1) <=
      kMaxEjectedShare * static_cast<double>(view_list_.size());
  if (!may_eject && !view.health.ejected())
    return;
  if (view.health.NoteFailure(now_)) {
    ++counters_.ejections;
    Record(decision_kind::kAgentEjected, "",
           {{"agent", view.agent()},
            {"ejected_before", static_cast<std::int64_t>(ejected)}});
  }
}

void job_scheduler_impl::OnFailed(scheduled_job& job,
                                  std::uint32_t task,
                                  const wire::run_report& report) {
  ++counters_.tasks_failed;
  scheduled_task& failed = job.tasks[task];
  worker_view& view = *failed.agent;
  Record(decision_kind::kTaskFailed, job.job_key,
         {{"task", std::int64_t{task}},
          {"attempt", std::int64_t{failed.attempt}},
          {"failures", std::int64_t{failed.failures + 1}},
          {"max_attempts", std::int64_t{job.kind->max_attempts}},
          {"agent", view.agent()},
          {"ran_us", report.ran.count()}});
  EndOutstanding(job, task);
  JudgeFailure(view, failed);
  job.may_have_run = true;
  failed.avoid = &view;
  if (++failed.failures >= job.kind->max_attempts)
    return GiveUp(job, job_errc::kTaskFailed);
  TaskWaits(job, task);
}

void job_scheduler_impl::OnReturned(scheduled_job& job,
                                    std::uint32_t task,
                                    const wire::run_report& report) {
  ++counters_.tasks_returned;
  scheduled_task& returned = job.tasks[task];
  worker_view& view = *returned.agent;
  Record(decision_kind::kTaskReturned, job.job_key,
         {{"task", std::int64_t{task}},
          {"attempt", std::int64_t{returned.attempt}},
          {"reason", std::string(wire::Name(report.reason))},
          {"agent", view.agent()},
          {"queued_us", report.queued.count()}});
  EndOutstanding(job, task);
  returned.avoid = &view;
  const bool workers_fault =
      report.reason == wire::run_reason::kWorkerRefused ||
      report.reason == wire::run_reason::kUnanswered;
  if (workers_fault)
    JudgeFailure(view, returned);
  else
    view.health.EndTrial();
  if (report.reason == wire::run_reason::kTooLate)
    return GiveUp(job, job_errc::kDeadlinePassed);
  TaskWaits(job, task);
}

void job_scheduler_impl::OnLost(scheduled_job& job,
                                std::uint32_t task,
                                wire::run_reason reason) {
  ++counters_.tasks_lost;
  scheduled_task& lost = job.tasks[task];
  worker_view& view = *lost.agent;
  Record(decision_kind::kTaskLost, job.job_key,
         {{"task", std::int64_t{task}},
          {"attempt", std::int64_t{lost.attempt}},
          {"reason", std::string(wire::Name(reason))},
          {"agent", view.agent()},
          {"age_us", (now_ - lost.dispatched).count()}});
  EndOutstanding(job, task);
  if (reason == wire::run_reason::kStalled)
    JudgeFailure(view, lost);
  else
    view.health.EndTrial();
  job.may_have_run = true;
  lost.avoid = &view;
  TaskWaits(job, task);
}

}  // namespace egretrack::scheduler
