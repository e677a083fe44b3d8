#include <algorithm>
#include <utility>

#include "decision/entry_core_impl.h"

namespace egretrack::decision {
namespace {

constexpr std::uint32_t kMaxSlots = 4096;  // Limits faulty reports.
// A refused task goes to other agents first. If there is none, the agent that
// refused the task gets it again after this backoff. One heartbeat interval
// keeps such repetitions rare.
constexpr microseconds kRefusalBackoff = milliseconds(250);

}  // namespace

void entry_core_impl::On(agent_frame_received& event) {
  static constexpr auto kTable = MessageTable(
      std::make_index_sequence<std::variant_size_v<wire::agent_message>>());
  const connection_number connection = event.frame.connection;
  for (wire::agent_message& message : event.frame.messages) {
    auto* hello = std::get_if<wire::hello>(&message);
    entry_agent* agent = hello != nullptr
                             ? BindLink(event.link, connection, *hello)
                             : agents_.Resolve(event.link, connection);
    if (agent == nullptr) {
      ++counters_.stale_frames;
      continue;
    }
    RecordContact(*agent);
    (this->*kTable[message.index()])(*agent, message);
  }
}

entry_agent* entry_core_impl::BindLink(link_id link,
                                       connection_number connection,
                                       wire::hello& hello) {
  if (!IsValidName(hello.agent))
    return nullptr;
  const hello_binding bound = agents_.Bind(link, connection, hello);
  if (bound.effect != hello_effect::kStale)
    RecordContact(*bound.agent);
  switch (bound.effect) {
    case hello_effect::kStale:
      return nullptr;
    case hello_effect::kRepeated:
      break;
    case hello_effect::kReconnected:
      bound.agent->credits.Reset();
      QueryOutstanding(*bound.agent);
      break;
    case hello_effect::kRestarted:
      bound.agent->credits.Reset();
      bound.agent->drain_requested = false;
      MarkOutstandingUnknown(*bound.agent);
      break;
  }
  return bound.agent;
}

void entry_core_impl::RecordContact(entry_agent& agent) {
  agent.last_contact = now_;
  agent.membership.Apply(agent.draining ? membership_event::kDrain
                                        : membership_event::kAlive);
}

// A restarted agent has lost its records, so the outcomes of its outstanding
// tasks are unknown.
void entry_core_impl::MarkOutstandingUnknown(entry_agent& agent) {
  while (!agent.outstanding.empty()) {
    const entry_agent::outstanding_task last = agent.outstanding.back();
    EndDispatch(*last.job, last.task);
    RetryOrEndTask(*last.job, last.task);
  }
}

// Dispatches and reports may have been lost with the old connection.
void entry_core_impl::QueryOutstanding(const entry_agent& agent) {
  for (const entry_agent::outstanding_task& each : agent.outstanding)
    QueryTask(*each.job, each.task);
}

void entry_core_impl::UpdateAgent(entry_agent& agent,
                                  std::string_view endpoint,
                                  std::uint32_t slots,
                                  std::uint64_t config_version,
                                  bool draining) {
  agent.slots = std::min(slots, kMaxSlots);
  agent.config_version = config_version;
  if (agent.endpoint != endpoint || agent.draining != draining)
    match_agents_ = true;
  agent.endpoint = endpoint;
  agent.draining = draining;
  agent.membership.Apply(draining ? membership_event::kDrain
                                  : membership_event::kAlive);
  ready_agents_.push_back(&agent);
}

void entry_core_impl::OnMessage(entry_agent& agent, wire::hello& message) {
  match_agents_ = true;
  agent.failure_domain = std::move(message.failure_domain);
  UpdateAgent(agent, message.endpoint, message.slots, message.config_version,
              message.draining);
}

void entry_core_impl::OnMessage(entry_agent& agent, wire::heartbeat& message) {
  agent.credits.Grant(message.granted_total);
  UpdateAgent(agent, message.endpoint, message.slots, message.config_version,
              message.draining);
  wire::heartbeat_reply reply;
  reply.entry = options_.entry;
  reply.entry_incarnation = options_.entry_incarnation;
  reply.sequence = message.sequence;
  reply.entry_time = now_;
  reply.config_version = catalog_.version();
  if (message.config_version < catalog_.version())
    reply.config_document = catalog_.configuration()->document;
  reply.queue_length = QueueLength(agent);
  Send(agent, std::move(reply));
  // An earlier drain request may have been lost with a connection.
  if (agent.drain_requested && !agent.draining)
    Send(agent, wire::drain_request{});
}

void entry_core_impl::OnMessage(entry_agent& agent, wire::grant& message) {
  ++counters_.credit_messages;
  agent.credits.Grant(message.granted_total);
  ready_agents_.push_back(&agent);
}

void entry_core_impl::OnMessage(entry_agent& agent, wire::recall& message) {
  counters_.credit_messages += 2;
  const std::uint32_t unused = QueueLength(agent) > 0 ? 0 : message.count;
  Send(agent, wire::release{agent.credits.Release(unused)});
}

void entry_core_impl::OnMessage(entry_agent& agent,
                                wire::task_report& message) {
  using report_handler =
      void (entry_core_impl::*)(entry_job&, task_index, wire::task_report&);
  // Indexed by task_state, which begins at 1.
  static constexpr std::array<report_handler, 5> kTable = {
      &entry_core_impl::OnRefused, &entry_core_impl::OnStarted,
      &entry_core_impl::OnFinished, &entry_core_impl::OnFailed,
      &entry_core_impl::OnCut};
  ++counters_.reports;
  agent.credits.Grant(message.granted_total);
  ready_agents_.push_back(&agent);
  const std::size_t handler = static_cast<std::size_t>(message.state) - 1;
  entry_job* job = jobs_.Find(message.job);
  if (job == nullptr || job->lifecycle.ended() ||
      message.task >= job->tasks.size() || handler >= kTable.size()) {
    ++counters_.late_reports;
    return;
  }
  const entry_task& task = job->tasks[message.task];
  if (task.assigned_agent != &agent || task.dispatch != message.dispatch) {
    ++counters_.late_reports;
    return;
  }
  (this->*kTable[handler])(*job, message.task, message);
}

// Reply to a query while the task runs; the final report is still to come.
void entry_core_impl::OnStarted(entry_job& /*job*/,
                                task_index /*task*/,
                                wire::task_report& /*report*/) {}

void entry_core_impl::OnRefused(entry_job& job,
                                task_index task,
                                wire::task_report& report) {
  entry_agent& agent = *job.tasks[task].assigned_agent;
  const bool trial = job.tasks[task].trial;
  EndDispatch(job, task);
  job.tasks[task].excluded.push_back(
      {agent.agent_incarnation, now_ + kRefusalBackoff});
  if (report.reason == wire::task_reason::kEndpointRefused)
    HandleFailure(agent, *job.kind, report.run_time, trial);
  else if (trial)
    agent.health.AbandonTrial();
  if (!job.lifecycle.open()) {
    EndTask(job, task, task_outcome::kNotRun);
    return;
  }
  ++counters_.redispatches;
  ReturnToQueue(job, task);
}

void entry_core_impl::OnFinished(entry_job& job,
                                 task_index task,
                                 wire::task_report& report) {
  entry_agent& agent = *job.tasks[task].assigned_agent;
  kind_profile& profile = job.kind->profile;
  agent.health.RecordSuccess(report.run_time, profile.median());
  if (job.tasks[task].trial)
    agent.health.EndTrial(true, now_);
  profile.Add(report.run_time);
  EndDispatch(job, task);
  job.tasks[task].result = std::move(report.result);
  EndTask(job, task, task_outcome::kFinished);
}

void entry_core_impl::OnFailed(entry_job& job,
                               task_index task,
                               wire::task_report& report) {
  entry_agent& agent = *job.tasks[task].assigned_agent;
  const bool trial = job.tasks[task].trial;
  EndDispatch(job, task);
  HandleFailure(agent, *job.kind, report.run_time, trial);
  EndTask(job, task, task_outcome::kFailed);
}

void entry_core_impl::OnCut(entry_job& job,
                            task_index task,
                            wire::task_report& report) {
  entry_agent& agent = *job.tasks[task].assigned_agent;
  const bool trial = job.tasks[task].trial;
  EndDispatch(job, task);
  // The agent keeps a record of the task and would not start it again.
  job.tasks[task].excluded.push_back(
      {agent.agent_incarnation, monotonic_time::max()});
  HandleFailure(agent, *job.kind, report.run_time, trial);
  if (MayRetry(job))
    RetryOrEndTask(job, task);
  else
    EndTask(job, task, task_outcome::kFailed);
}

void entry_core_impl::HandleFailure(entry_agent& agent,
                                    const kind_state& kind,
                                    microseconds run_time,
                                    bool trial) {
  agent.health.RecordFailure(run_time, kind.profile.median());
  if (trial) {
    agent.health.EndTrial(false, now_);
    return;
  }
  if (!options_.ejection)
    return;
  std::vector<const agent_health*> desk;
  desk.reserve(kind.agents.size());
  for (const entry_agent* member : kind.agents)
    desk.push_back(&member->health);
  if (!ShouldEject(agent.health, desk))
    return;
  agent.health.Eject(now_);
  ++counters_.ejections;
}

void entry_core_impl::OnMessage(entry_agent& agent,
                                wire::job_records& message) {
  lookup* active = lookups_.FindByNumber(message.lookup);
  if (active == nullptr)
    return;
  active->AddAnswer(agent.agent_incarnation, std::move(message));
  if (active->complete())
    EndLookup(*active);
}

void entry_core_impl::OnMessage(entry_agent& /*agent*/,
                                wire::config_offer& message) {
  if (message.version > catalog_.version())
    Emit(configuration_offered{message.version, std::move(message.document)});
}

// The agent's part of the queued tasks that it may run. If every agent were
// sent the length of the whole queue, all would grant credits for the same
// tasks.
std::uint32_t entry_core_impl::QueueLength(const entry_agent& agent) const {
  std::size_t length = 0;
  for (const kind_state* kind : agent.kinds) {
    if (kind->queued_tasks == 0 || !IsEligible(agent, *kind))
      continue;
    const std::size_t agents = kind->agents.size();
    length += (kind->queued_tasks + agents - 1) / agents;
  }
  return static_cast<std::uint32_t>(length);
}

}  // namespace egretrack::decision
