#include <algorithm>
#include <cstdlib>
#include <optional>
#include <utility>

#include "egretrack/base/event_table.h"
#include "egretrack/scheduler/members.h"
#include "scheduler/run_supervisor_impl.h"

namespace egretrack::scheduler {
namespace {

// An entry without a dispatch for this time gets the load in heartbeats only.
constexpr seconds kActiveEntryWindow{1};
// A change of free CPU by a typical task is reported in a frame of its own.
// Such frames are at least kLoadReportInterval times the square of the number
// of active entries apart: 32 ms with four entries, more than the heartbeat
// interval with twelve.
constexpr std::int64_t kLoadReportStepMilli = 1500;
constexpr milliseconds kLoadReportInterval{2};
constexpr milliseconds kMinLoadReportInterval{20};

}  // namespace

// ---- Frames ---------------------------------------------------------------

void run_supervisor_impl::OnEntryFrame(entry_frame& event) {
  if (event.entry >= links_.size())
    return;
  entry_link& link = links_[event.entry];
  const wire::beat_reply* reply = nullptr;
  for (const wire::entry_run_message& message : event.frame.messages) {
    if (const auto* found = std::get_if<wire::beat_reply>(&message))
      reply = found;
  }
  const bool first = !link.responded();
  const bool was_responsive = link.responsive();
  const frame_origin origin = link.Observe(event.frame, reply);
  if (origin != frame_origin::kCurrent) {
    ++counters_.stale_frames;
    if (origin == frame_origin::kOtherProcess)
      OnEntryRestarted(event.entry);
    return;
  }
  links_changed_ = links_changed_ || link.responsive() != was_responsive;
  if (first && link.responded()) {
    RecordDecision(
        decision_kind::kEntryFound, "",
        {{"entry", link.entry()},
         {"connection", static_cast<std::int64_t>(link.connection())}});
    // The entry uses this agent once a frame shows that the agent has heard it.
    link.heartbeat_requested = true;
  }
  using messages = event_table<
      wire::entry_run_message, &run_supervisor_impl::OnHeartbeatReply,
      &run_supervisor_impl::OnDispatch, &run_supervisor_impl::OnCancel>;
  for (wire::entry_run_message& message : event.frame.messages)
    messages::Call(*this, message, event.entry);
}

void run_supervisor_impl::OnHeartbeatReply(wire::beat_reply& message,
                                           const entry_index& entry) {
  AdoptEvacuations(message, entry);
  if (!message.members.empty() && message.members_hash != members_hash_) {
    Normalize(message.members);
    members_hash_ = HashMembers(message.members);
    RecordDecision(
        decision_kind::kMembersChanged, "",
        {{"entries", static_cast<std::int64_t>(message.members.size())}});
    for (entry_link& link : links_)
      link.listed = false;
    AddLinks(message.members);
  }
  if (message.reconnect)
    Reconnect(entry);
}

void run_supervisor_impl::OnDispatch(wire::run_dispatch& message,
                                     const entry_index& entry) {
  ++counters_.dispatches;
  entry_link& link = links_[entry];
  ++link.dispatches_seen;
  link.last_dispatch = now_;
  agent_run run;
  run.entry = entry;
  run.connection = link.connection();
  run.job = message.job;
  run.task = message.task;
  run.attempt = message.attempt;
  run.id = {std::move(message.job_key), message.step, message.index,
            message.attempt};
  run.need = message.need;
  run.spec = std::move(message.spec);
  run.predicted = message.predicted;
  run.received = now_;
  run.start_by = link.ToLocalDeadline(message.start_by);
  run.target = now_ + message.target;
  run.virtual_deadline = now_ + message.virtual_deadline;
  run.return_at = now_ + message.queue_bound;
  const std::uint64_t key = runs_.Add(std::move(run));
  const auto reason = RefusalReasonOf(message);
  if (!reason)
    return;
  RefuseRun(key, *reason);
  // The entry may have restarted or lost the message that told it.
  if (*reason == wire::run_reason::kEvacuated)
    RequestEvacuationHeartbeat(entry);
  // The entry places the task anew, so that it has to know the worker.
  if (*reason == wire::run_reason::kWorkerChanged)
    link.heartbeat_requested = true;
}

void run_supervisor_impl::OnCancel(wire::run_cancel& message,
                                   const entry_index& entry) {
  std::vector<std::uint64_t> queued;
  for (auto& [key, run] : runs_.all()) {
    if (run.entry != entry || run.job != message.job)
      continue;
    const bool selected =
        message.tasks.empty() ||
        std::ranges::find(message.tasks, run.task) != message.tasks.end();
    if (!selected)
      continue;
    run.reported = true;
    if (run.lifecycle.phase() == run_phase::kQueued)
      queued.push_back(key);
    else
      StopRun(run, wire::run_reason::kNone);
  }
  for (const std::uint64_t key : queued)
    runs_.Erase(key);
}

// ---- Heartbeats and reports -----------------------------------------------

bool run_supervisor_impl::IsSettled(entry_index entry) const {
  // Runs of an earlier incarnation have ended with its lease, or were listed by
  // a poll and stopped.
  const bool reconciled =
      orphaned_runs_.empty() &&
      (now_ > OrphanLeaseEnd() || (worker_ && worker_->reconciled));
  const connection_number current = links_[entry].connection();
  return reconciled && std::none_of(runs_.all().begin(), runs_.all().end(),
                                    [&](const auto& item) {
                                      return item.second.entry == entry &&
                                             item.second.connection != current;
                                    });
}

resources run_supervisor_impl::FreeResources() const {
  return worker_ && worker_->described
             ? runs_.FreeResources(worker_->report.capacity)
             : resources();
}

wire::worker_load run_supervisor_impl::CurrentLoad() const {
  wire::worker_load load;
  load.queued = static_cast<std::uint32_t>(runs_.CountQueued());
  load.free = FreeResources();
  if (worker_) {
    load.wait = runs_.PredictWait(worker_->report.capacity, now_);
  }
  return load;
}

void run_supervisor_impl::SendHeartbeat(entry_index entry) {
  entry_link& link = links_[entry];
  wire::agent_beat heartbeat;
  heartbeat.sequence = link.NextHeartbeat(now_);
  heartbeat.failure_domain = options_.failure_domain;
  heartbeat.members_hash = members_hash_;
  if (HasUsableWorker()) {
    const worker_report& report = worker_->report;
    heartbeat.worker.push_back({report.id, report.desk, report.labels,
                                report.capacity, revision_.number()});
  }
  heartbeat.draining = draining_ || (worker_ && worker_->draining) ||
                       link.state == link_state::kLeaving;
  heartbeat.settled = IsSettled(entry);
  DescribeEvacuations(entry, heartbeat);
  link.reported_settled = heartbeat.settled;
  link.outgoing.emplace_back(std::move(heartbeat));
  link.heartbeat_requested = false;
  link.last_heartbeat = now_;
}

// While frames of both sides prove that they are alive, a link with runs needs
// heartbeats only to relate the clocks.
monotonic_time run_supervisor_impl::HeartbeatDue(entry_index entry) const {
  const entry_link& link = links_[entry];
  if (link.heartbeat_requested)
    return now_;
  // The entry waits to hear that the runs of the earlier connection have ended.
  if (!link.reported_settled)
    return link.last_heartbeat + options_.heartbeat_interval;
  const monotonic_time idle_due =
      link.last_heartbeat + options_.idle_heartbeat_interval;
  if (!runs_.HasRunsOf(entry))
    return idle_due;
  const monotonic_time last_proof = std::max(
      link.last_heartbeat, std::min(link.last_known_alive(), link.last_sent));
  return std::min(idle_due, last_proof + options_.heartbeat_interval);
}

void run_supervisor_impl::ScheduleHeartbeats() {
  for (entry_link& link : links_)
    link.heartbeat_requested = true;
}

bool run_supervisor_impl::IsActive(const entry_link& link) const {
  return link.last_dispatch != monotonic_time::min() &&
         now_ - link.last_dispatch < kActiveEntryWindow;
}

// Every agent reports to an entry, so the rate of load reports that an entry
// receives grows with the number of agents, while the share of the load that an
// entry causes falls with the number of entries. The rate per link therefore
// falls with the square of the number of active entries.
microseconds run_supervisor_impl::LoadReportInterval() const {
  const auto links = std::ranges::count_if(
      links_, [this](const entry_link& link) { return IsActive(link); });
  return std::max<microseconds>(
      kLoadReportInterval * static_cast<std::int64_t>(links * links),
      kMinLoadReportInterval);
}

bool run_supervisor_impl::HasLoadChanged(const entry_link& link,
                                         const resources& free) const {
  if (!worker_ || !link.responded() || !IsActive(link))
    return false;
  return std::abs(free.cpu_milli - link.last_reported_free.cpu_milli) >=
         kLoadReportStepMilli;
}

void run_supervisor_impl::SendFrames() {
  const resources free = FreeResources();
  const microseconds interval = LoadReportInterval();
  std::optional<wire::worker_load> load;  // Same for all links.
  for (entry_index entry = 0; entry < links_.size(); ++entry) {
    entry_link& link = links_[entry];
    if (link.state == link_state::kClosed)
      continue;
    if (now_ >= HeartbeatDue(entry))
      SendHeartbeat(entry);
    const bool changed =
        now_ >= link.last_sent + interval && HasLoadChanged(link, free);
    if (link.outgoing.empty() && !changed)
      continue;
    if (!load)
      load = CurrentLoad();
    SendFrame(entry, *load);
  }
}

void run_supervisor_impl::SendFrame(entry_index entry,
                                    const wire::worker_load& load) {
  entry_link& link = links_[entry];
  send_to_entry send;
  send.entry = entry;
  send.frame.agent = options_.agent;
  send.frame.agent_incarnation = options_.agent_incarnation;
  send.frame.connection = link.connection();
  send.frame.entry_incarnation =
      link.entry_incarnation().value_or(incarnation{});
  send.frame.load = load;
  send.frame.load.dispatches_seen = link.dispatches_seen;
  send.frame.messages = std::exchange(link.outgoing, {});
  link.last_sent = now_;
  link.last_reported_free = send.frame.load.free;
  commands_->emplace_back(std::move(send));
}

void run_supervisor_impl::ReportRunEnd(const agent_run& run,
                                       wire::run_end end,
                                       wire::run_reason reason) {
  entry_link& link = links_[run.entry];
  if (run.reported || run.connection != link.connection())
    return;
  wire::run_report report;
  report.job = run.job;
  report.task = run.task;
  report.attempt = run.attempt;
  report.end = end;
  report.reason = reason;
  const bool ran = run.started != monotonic_time{};
  report.queued = (ran ? run.started : now_) - run.received;
  report.ran = ran ? now_ - run.started : microseconds(0);
  link.outgoing.emplace_back(report);
}

}  // namespace egretrack::scheduler
