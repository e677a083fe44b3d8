#include <algorithm>
#include <functional>
#include <utility>

#include "egretrack/base/event_table.h"
#include "egretrack/scheduler/members.h"
#include "scheduler/job_scheduler_impl.h"

namespace egretrack::scheduler {
namespace {

// Number of entries that prefer an agent. With at most this many entries, every
// entry prefers every agent.
constexpr std::size_t kPreferredEntriesPerAgent = 4;
constexpr std::size_t kMinPreferredAgents = 12;
// Largest share of the agents that may be ejected, so that a fault common to
// all workers does not eject all of them.
constexpr double kMaxEjectedShare = 0.5;
// Named by an agent that has heard no process on its connection.
constexpr incarnation kUnknownProcess{};

}  // namespace

// ---- Sessions -------------------------------------------------------------

void job_scheduler_impl::OnFrame(agent_frame& event) {
  worker_view& view = FindOrAddView(event);
  const agent_session session{event.frame.agent_incarnation,
                              event.frame.connection};
  // A delayed frame of an earlier connection or process of the agent, which
  // knows nothing of the runs of the current one.
  view.RecordProcess(session.agent_incarnation);
  if (view.IsEarlier(session))
    return;
  RecordContact(view);
  // Frames for an earlier entry process hold the ends of its runs, whose job
  // numbers this process uses again.
  const auto& addressee = event.frame.entry_incarnation;
  const bool for_other_process = addressee && *addressee != kUnknownProcess &&
                                 *addressee != options_.entry_incarnation;
  // A first frame of a connection may be a delayed one of a process that has
  // ended. One that has heard this process is not.
  const bool unheard = addressee && *addressee == kUnknownProcess;
  if (for_other_process || (unheard && session != view.session))
    return AnswerWithoutSession(view, event, for_other_process);
  if (session != view.session) {
    if (view.outstanding > 0)
      view.previous_runs_end = view.last_sent + options_.lost_run_timeout;
    view.BeginSession(session);
    view.link = event.link;
    view.outgoing.clear();
    RecordDecision(
        decision_kind::kAgentFound, "",
        {{"agent", view.agent()},
         {"connection", static_cast<std::int64_t>(session.connection)},
         {"outstanding", std::int64_t{view.outstanding}}});
  }
  // On another link, the transport has reconnected on its own and may have lost
  // frames.
  if (event.link != view.link) {
    view.link = event.link;
    wire::beat_reply reply;
    reply.reconnect = true;
    view.outgoing.emplace_back(std::move(reply));
    return;
  }
  view.UpdateLoad(event.frame.load, now_);
  view.silent = false;
  dispatch_needed_ = true;
  using messages =
      event_table<wire::agent_run_message, &job_scheduler_impl::OnHeartbeat,
                  &job_scheduler_impl::OnReport>;
  for (wire::agent_run_message& message : event.frame.messages)
    messages::Call(*this, message, view);
}

void job_scheduler_impl::AnswerWithoutSession(worker_view& view,
                                              const agent_frame& event,
                                              bool reconnect) {
  send_to_agent send;
  send.link = event.link;
  send.frame.connection = event.frame.connection;
  send.frame.entry = options_.entry;
  send.frame.entry_incarnation = options_.entry_incarnation;
  send.frame.entry_time = now_;
  for (const wire::agent_run_message& message : event.frame.messages) {
    if (const auto* heartbeat = std::get_if<wire::agent_beat>(&message))
      send.frame.messages.emplace_back(MakeReply(*heartbeat));
  }
  if (reconnect) {
    wire::beat_reply reply;
    reply.reconnect = true;
    send.frame.messages.emplace_back(std::move(reply));
  }
  view.last_sent = now_;
  Emit(std::move(send));
}

wire::beat_reply job_scheduler_impl::MakeReply(
    const wire::agent_beat& heartbeat) const {
  wire::beat_reply reply;
  reply.sequence = heartbeat.sequence;
  reply.members_hash = members_hash_;
  if (heartbeat.members_hash != members_hash_)
    reply.members = members_;
  reply.evacuations_hash = evacuations_.hash();
  if (heartbeat.evacuations_hash != evacuations_.hash())
    reply.evacuations = evacuations_.values();
  return reply;
}

worker_view& job_scheduler_impl::FindOrAddView(agent_frame& event) {
  auto found = views_.find(event.frame.agent);
  if (found == views_.end()) {
    found = views_
                .emplace(event.frame.agent,
                         std::make_unique<worker_view>(event.frame.agent))
                .first;
    found->second->weight = RendezvousWeight(options_.entry, event.frame.agent);
    view_list_.push_back(found->second.get());
    SelectPreferredAgents();
  }
  return *found->second;
}

void job_scheduler_impl::SelectPreferredAgents() {
  std::vector<worker_view*> ranked = view_list_;
  std::ranges::sort(ranked, std::greater<>(), &worker_view::weight);
  const std::size_t entries =
      std::clamp<std::size_t>(members_.size(), 1, kLinkedEntriesPerAgent);
  const std::size_t share =
      (kPreferredEntriesPerAgent * ranked.size() + entries - 1) / entries;
  const std::size_t count = std::max(share, kMinPreferredAgents);
  for (std::size_t rank = 0; rank < ranked.size(); ++rank)
    ranked[rank]->preferred = rank < count;
}

void job_scheduler_impl::OnHeartbeat(wire::agent_beat& message,
                                     worker_view& view) {
  OnAgentEvacuations(message, view);
  view.outgoing.emplace_back(MakeReply(message));
  view.failure_domain = std::move(message.failure_domain);
  UpdateEvacuated(view);
  view.draining = message.draining;
  std::optional<wire::worker_facts> worker;
  if (!message.worker.empty())
    worker = std::move(message.worker.front());
  const bool other_worker =
      worker && view.worker &&
      (worker->id != view.worker->id || worker->labels != view.worker->labels);
  if (other_worker) {
    run_times_.ResetWorker(view.agent());
    view.health = {};
    view.refusals = {};
  }
  view.worker = std::move(worker);
  if (message.settled && view.previous_runs_end)
    EndProvenDispatches(view, true);
}

// An agent sends heartbeats more often while it has runs of this entry, from
// the first dispatch on.
bool job_scheduler_impl::IsSilent(const worker_view& view) const {
  if (view.outstanding == 0)
    return now_ - view.last_contact > options_.idle_agent_silence;
  return now_ - std::max(view.last_contact, view.busy_since) >
         options_.agent_silence;
}

void job_scheduler_impl::CheckAgentTimeouts() {
  for (worker_view* view : view_list_) {
    if (!view->silent && IsSilent(*view)) {
      view->silent = true;
      RecordDecision(decision_kind::kAgentLost, "",
                     {{"agent", view->agent()},
                      {"silence_us", (now_ - view->last_contact).count()},
                      {"outstanding", std::int64_t{view->outstanding}}});
    }
    const bool due =
        (view->previous_runs_end && now_ >= *view->previous_runs_end) ||
        (view->silent && view->outstanding > 0 &&
         now_ >= view->last_sent + options_.lost_run_timeout);
    if (due)
      EndProvenDispatches(*view, false);
  }
}

// Handles the outstanding tasks of the agent as lost whose runs have certainly
// ended. `settled` is what the agent says of its earlier sessions.
void job_scheduler_impl::EndProvenDispatches(worker_view& view, bool settled) {
  struct lost_task {
    std::uint64_t job = 0;
    std::uint32_t task = 0;
    run_end_proof proof = run_end_proof::kNone;
  };
  std::vector<lost_task> lost;
  for (const auto& [number, job] : jobs_) {
    for (std::uint32_t task = 0; task < job->tasks.size(); ++task) {
      const scheduled_task& state = job->tasks[task];
      if (state.phase != task_phase::kOutstanding || state.agent != &view)
        continue;
      dispatch_evidence evidence = EvidenceOf(view, state);
      evidence.settled = settled;
      const run_end_proof proof = FindRunEndProof(evidence, now_);
      if (proof != run_end_proof::kNone)
        lost.push_back({number, task, proof});
    }
  }
  // No run of an earlier session is left.
  if (settled || (view.previous_runs_end && now_ >= *view.previous_runs_end))
    view.previous_runs_end.reset();
  for (const lost_task& each : lost) {
    const auto found = jobs_.find(each.job);
    if (found != jobs_.end()) {
      OnRunLost(*found->second, each.task, wire::run_reason::kEntrySilent,
                each.proof);
    }
  }
}

dispatch_evidence job_scheduler_impl::EvidenceOf(
    const worker_view& view,
    const scheduled_task& task) const {
  dispatch_evidence evidence;
  evidence.earlier_session = task.session != view.session;
  // The dispatch itself may not have been sent yet.
  const monotonic_time last_sent = std::max(view.last_sent, task.dispatched_at);
  if (view.silent)
    evidence.agent_stops_by = last_sent + options_.lost_run_timeout;
  if (evidence.earlier_session && view.previous_runs_end) {
    evidence.agent_stops_by =
        std::min(evidence.agent_stops_by, *view.previous_runs_end);
  }
  return evidence;
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
  dispatch_evidence evidence;
  evidence.reported = task.phase == task_phase::kOutstanding &&
                      task.agent == &view && task.session == view.session &&
                      task.attempt == message.attempt;
  const run_end_proof proof = FindRunEndProof(evidence, now_);
  if (proof == run_end_proof::kNone) {
    ++counters_.late_reports;
    return;
  }
  switch (message.end) {
    case wire::run_end::kDone:
      return OnRunDone(job, message.task, message);
    case wire::run_end::kFailed:
      return OnRunFailed(job, message.task, message);
    case wire::run_end::kRefused:
      return OnTaskReturned(job, message.task, message);
    case wire::run_end::kLost:
      return OnRunLost(job, message.task, message.reason, proof);
  }
}

void job_scheduler_impl::EndDispatch(scheduled_job& job, std::uint32_t task) {
  scheduled_task& ended = job.tasks[task];
  --job.outstanding;
  --outstanding_;
  --ended.agent->outstanding;
  ended.phase = task_phase::kWaiting;
  ended.is_trial = false;
}

void job_scheduler_impl::OnRunDone(scheduled_job& job,
                                   std::uint32_t task,
                                   const wire::run_report& report) {
  scheduled_task& done = job.tasks[task];
  worker_view& view = *done.agent;
  EndDispatch(job, task);
  view.refusals.RecordStart(now_);
  ObserveRunTime(job, done, report);
  if (view.health.ejected())
    RecordDecision(decision_kind::kAgentReadmitted, "",
                   {{"agent", view.agent()}});
  view.health.RecordSuccess();
  CompleteTask(job, task);
}

// Counts a failure against the worker. A task that fails on a second worker is
// at fault itself; the failure of the first worker is then retracted.
void job_scheduler_impl::AttributeFailure(worker_view& view,
                                          scheduled_task& task) {
  if (task.first_failed_agent != nullptr && task.first_failed_agent != &view &&
      !task.task_at_fault) {
    task.first_failed_agent->health.RetractFailure();
    task.task_at_fault = true;
  }
  if (task.task_at_fault) {
    view.health.AbandonTrial();
    return;
  }
  task.first_failed_agent = &view;
  const auto ejected = std::ranges::count_if(
      view_list_, [](const worker_view* v) { return v->health.ejected(); });
  const bool may_eject =
      static_cast<double>(ejected + 1) <=
      kMaxEjectedShare * static_cast<double>(view_list_.size());
  if (!may_eject && !view.health.ejected())
    return;
  if (view.health.RecordFailure(now_)) {
    ++counters_.ejections;
    RecordDecision(decision_kind::kAgentEjected, "",
                   {{"agent", view.agent()},
                    {"ejected_before", static_cast<std::int64_t>(ejected)}});
  }
}

void job_scheduler_impl::OnRunFailed(scheduled_job& job,
                                     std::uint32_t task,
                                     const wire::run_report& report) {
  ++counters_.tasks_failed;
  scheduled_task& failed = job.tasks[task];
  worker_view& view = *failed.agent;
  RecordDecision(decision_kind::kTaskFailed, job.job_key,
                 {{"task", std::int64_t{task}},
                  {"attempt", std::int64_t{failed.attempt}},
                  {"failures", std::int64_t{failed.failures + 1}},
                  {"max_attempts", std::int64_t{job.kind->max_attempts}},
                  {"agent", view.agent()},
                  {"ran_us", report.ran.count()}});
  EndDispatch(job, task);
  view.refusals.RecordStart(now_);
  AttributeFailure(view, failed);
  job.may_have_run = true;
  failed.avoided_agent = &view;
  if (++failed.failures >= job.kind->max_attempts)
    return AbandonJob(job, job_errc::kTaskFailed);
  EnqueueTask(job, task);
}

void job_scheduler_impl::OnTaskReturned(scheduled_job& job,
                                        std::uint32_t task,
                                        const wire::run_report& report) {
  ++counters_.tasks_returned;
  scheduled_task& returned = job.tasks[task];
  worker_view& view = *returned.agent;
  RecordDecision(decision_kind::kTaskReturned, job.job_key,
                 {{"task", std::int64_t{task}},
                  {"attempt", std::int64_t{returned.attempt}},
                  {"reason", std::string(wire::Name(report.reason))},
                  {"agent", view.agent()},
                  {"queued_us", report.queued.count()}});
  RecordNearReturn(job, task, report);
  EndDispatch(job, task);
  // Another worker of the same agent may well run the task.
  if (report.reason != wire::run_reason::kWorkerChanged)
    returned.avoided_agent = &view;
  if (report.reason == wire::run_reason::kEvacuated)
    OnEvacuatedReturn(view);
  if (report.reason == wire::run_reason::kWorkerRefused)
    view.refusals.RecordRefusal(now_);
  if (report.reason == wire::run_reason::kUnanswered)
    AttributeFailure(view, returned);
  else
    view.health.AbandonTrial();
  if (report.reason == wire::run_reason::kTooLate)
    return AbandonJob(job, job_errc::kDeadlinePassed);
  EnqueueTask(job, task);
}

void job_scheduler_impl::OnRunLost(scheduled_job& job,
                                   std::uint32_t task,
                                   wire::run_reason reason,
                                   run_end_proof proof) {
  ++counters_.tasks_lost;
  scheduled_task& lost = job.tasks[task];
  worker_view& view = *lost.agent;
  RecordDecision(decision_kind::kTaskLost, job.job_key,
                 {{"task", std::int64_t{task}},
                  {"attempt", std::int64_t{lost.attempt}},
                  {"reason", std::string(wire::Name(reason))},
                  {"proof", std::string(Name(proof))},
                  {"agent", view.agent()},
                  {"age_us", (now_ - lost.dispatched_at).count()}});
  EndDispatch(job, task);
  if (reason == wire::run_reason::kStalled)
    AttributeFailure(view, lost);
  else
    view.health.AbandonTrial();
  job.may_have_run = true;
  lost.avoided_agent = &view;
  EnqueueTask(job, task);
}

}  // namespace egretrack::scheduler
