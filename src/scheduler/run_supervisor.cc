#include "egretrack/scheduler/run_supervisor.h"

#include <algorithm>
#include <utility>

#include "egretrack/base/event_table.h"
#include "scheduler/run_supervisor_impl.h"

namespace egretrack::scheduler {
namespace {

// Used when no timer is due. Also limits the delay caused by a missed wakeup.
constexpr milliseconds kMaxWakeupDelay{1000};
// First increment of a refused fencing token, in milliseconds because the first
// token is a time of day. It doubles on each refusal, so a clock that was set
// back by an hour costs a dozen refusals.
constexpr std::uint64_t kInitialFenceStep = 1000;

// Longest time limit of a call. A stop without an answer for `stop_timeout`
// ends the renewal of the lease, so that a longer wait gains nothing; and a
// lost renewal has to be repeated within the lease.
milliseconds LongestCall(const supervisor_options& options) {
  return std::min(options.stop_timeout, options.lease / 2);
}

}  // namespace

bool IsSameWorker(const worker_report& a, const worker_report& b) {
  return a.id == b.id && a.worker_incarnation == b.worker_incarnation &&
         a.address == b.address;
}

milliseconds LongestUnattendedRun(const supervisor_options& options) {
  return options.entry_silence + options.stop_timeout +
         worker_lease::LongestTime(options.lease, options.clock_drift);
}

result<std::unique_ptr<run_supervisor>> run_supervisor::Create(
    supervisor_options options) {
  const bool valid = !options.agent.empty() &&
                     options.heartbeat_interval.count() > 0 &&
                     options.entry_silence > options.heartbeat_interval &&
                     options.idle_heartbeat_interval.count() > 0 &&
                     options.lease > options.renew_interval &&
                     options.longest_lease >= options.lease &&
                     options.max_starts_in_flight > 0 &&
                     options.clock_drift >= 0 && options.clock_drift < 1;
  if (!valid)
    return MakeError(errc::kInvalidArgument,
                     "run supervisor option out of range");
  return std::make_unique<run_supervisor_impl>(std::move(options));
}

run_supervisor_impl::run_supervisor_impl(supervisor_options options)
    : options_(std::move(options)),
      revision_(options_.agent_incarnation),
      lease_(options_.lease, options_.longest_lease, options_.clock_drift),
      call_limit_(LongestCall(options_)),
      fence_(options_.first_fence),
      fence_step_(kInitialFenceStep) {}

void run_supervisor_impl::BeginCall(monotonic_time now,
                                    std::vector<supervisor_command>& commands) {
  now_ = now;
  commands_ = &commands;
  if (!has_handled_event_) {
    has_handled_event_ = true;
    first_event_at_ = now;
  }
}

void run_supervisor_impl::Handle(supervisor_event event,
                                 monotonic_time now,
                                 std::vector<supervisor_command>& commands) {
  BeginCall(now, commands);
  // Checks timeouts before the event, so that a process that was suspended does
  // not extend a lease that has expired meanwhile.
  CheckLinks();
  CheckWorker();
  using events =
      event_table<supervisor_event, &run_supervisor_impl::OnEntryFrame,
                  &run_supervisor_impl::OnWorkerReport,
                  &run_supervisor_impl::OnWorkerDeregistered,
                  &run_supervisor_impl::OnWorkerRestored,
                  &run_supervisor_impl::OnStartAnswered,
                  &run_supervisor_impl::OnStopAnswered,
                  &run_supervisor_impl::OnPollAnswered,
                  &run_supervisor_impl::OnEntriesDiscovered,
                  &run_supervisor_impl::OnDrainRequested>;
  events::Call(*this, event);
}

monotonic_time run_supervisor_impl::Advance(
    monotonic_time now,
    std::vector<supervisor_command>& commands) {
  BeginCall(now, commands);
  CheckLinks();
  if (std::exchange(links_changed_, false))
    UpdateLinks();
  CheckWorker();
  ReturnEvacuatedRuns();
  ExpireQueuedRuns();
  SendStops();
  StartRuns();
  PollWorker();
  CheckDrain();
  SendFrames();
  return NextWakeup();
}

monotonic_time run_supervisor_impl::NextWakeup() const {
  monotonic_time wakeup = now_ + kMaxWakeupDelay;
  const resources free = FreeResources();
  const microseconds interval = LoadReportInterval();
  for (entry_index entry = 0; entry < links_.size(); ++entry) {
    const entry_link& link = links_[entry];
    if (link.state == link_state::kClosed)
      continue;
    wakeup = std::min(wakeup, HeartbeatDue(entry));
    if (HasLoadChanged(link, free))
      wakeup = std::min(wakeup, link.last_sent + interval);
  }
  for (const auto& [key, run] : runs_.all()) {
    if (run.lifecycle.phase() == run_phase::kQueued)
      wakeup = std::min({wakeup, run.return_at, run.start_by});
    const bool stop_pending = run.lifecycle.phase() == run_phase::kStopping &&
                              !run.stop_accepted && !run.stop_in_flight;
    if (stop_pending && worker_)
      wakeup = std::min(wakeup, run.next_stop_call);
    if (run.lifecycle.holds_resources())
      wakeup = std::min(wakeup, LeaseEnd(run));
  }
  if (!poll_in_flight_ && NeedsPoll())
    wakeup = std::min(wakeup, next_poll_);
  if (draining_ && !drained_)
    wakeup = std::min(wakeup, drain_end_);
  return wakeup;
}

void run_supervisor_impl::ExpireQueuedRuns() {
  std::vector<std::pair<std::uint64_t, wire::run_reason>> expired;
  for (const auto& [key, run] : runs_.all()) {
    if (run.lifecycle.phase() != run_phase::kQueued)
      continue;
    if (now_ >= run.start_by)
      expired.emplace_back(key, wire::run_reason::kTooLate);
    else if (now_ >= run.return_at)
      expired.emplace_back(key, wire::run_reason::kQueuedTooLong);
  }
  for (const auto& [key, reason] : expired)
    RefuseRun(key, reason);
}

// ---- Drain ----------------------------------------------------------------

std::optional<wire::run_reason> run_supervisor_impl::RefusalReasonOf(
    const wire::run_dispatch& dispatch) const {
  if (evacuated_)
    return wire::run_reason::kEvacuated;
  if (draining_ || (worker_ && worker_->draining))
    return wire::run_reason::kDraining;
  if (!HasUsableWorker())
    return wire::run_reason::kNoWorker;
  if (!revision_.Allows(dispatch.worker_revision))
    return wire::run_reason::kWorkerChanged;
  if (!worker_->report.capacity.Fits(dispatch.need))
    return wire::run_reason::kNoRoom;
  return std::nullopt;
}

void run_supervisor_impl::OnDrainRequested(agent_drain_requested& /*event*/) {
  if (draining_)
    return;
  draining_ = true;
  drain_end_ = now_ + options_.drain_bound;
  ScheduleHeartbeats();
}

void run_supervisor_impl::CheckDrain() {
  if (!draining_ || drained_)
    return;
  const bool idle =
      runs_.all().empty() &&
      (!worker_ || worker_->last_end_seen == worker_->last_end_acknowledged);
  if (!idle && now_ < drain_end_)
    return;
  drained_ = true;
  commands_->emplace_back(agent_drain_finished{});
}

// ---- Worker ---------------------------------------------------------------

void run_supervisor_impl::OnWorkerReport(worker_report& event) {
  if (!worker_)
    return AdoptWorker(std::move(event));
  const worker_report& current = worker_->report;
  if (!IsSameWorker(current, event))
    return ConsiderSuccessor(std::move(event));
  // A delayed report.
  if (event.sequence < current.sequence)
    return;
  const bool changed =
      !worker_->described || event.draining != current.draining;
  ApplyReport(std::move(event));
  if (changed)
    commands_->emplace_back(store_worker{worker_->report});
}

// The next report or poll response shows whether the stored worker still
// exists.
void run_supervisor_impl::OnWorkerRestored(worker_restored& event) {
  if (!worker_)
    AppearWorker(std::move(event.report));
}

void run_supervisor_impl::AdoptWorker(worker_report report) {
  AppearWorker(std::move(report));
  commands_->emplace_back(store_worker{worker_->report});
}

void run_supervisor_impl::AppearWorker(worker_report report) {
  worker_.emplace();
  RecordDecision(decision_kind::kWorkerAppeared, "",
                 {{"worker", report.id},
                  {"desk", report.desk},
                  {"cpu_milli", report.capacity.cpu_milli},
                  {"born_ms", report.worker_incarnation}});
  ScheduleHeartbeats();
  ApplyReport(std::move(report));
}

void run_supervisor_impl::ApplyReport(worker_report report) {
  worker_->last_contact = now_;
  if (!worker_->described || worker_->leaving)
    ScheduleHeartbeats();
  worker_->described = true;
  worker_->leaving = false;
  if (report.draining && !worker_->draining) {
    worker_->draining = true;
    RecordDecision(decision_kind::kWorkerDraining, "", {{"worker", report.id}});
    ScheduleHeartbeats();
    RefuseQueuedRuns(wire::run_reason::kDraining);
  }
  worker_->report = std::move(report);
  // Queued runs were meant for the worker as it was.
  if (revision_.Describe(worker_->report)) {
    RefuseQueuedRuns(wire::run_reason::kWorkerChanged);
    ScheduleHeartbeats();
  }
}

// A report alone does not show that the current worker has ended: it may be a
// delayed one, or come from another writer. The current worker is polled, and
// keeps its place if it answers.
void run_supervisor_impl::ConsiderSuccessor(worker_report report) {
  const bool known = successor_ && IsSameWorker(successor_->report, report);
  if (!known) {
    RecordDecision(decision_kind::kOtherWorkerReported, "",
                   {{"worker", worker_->report.id},
                    {"born_ms", worker_->report.worker_incarnation},
                    {"other", report.id},
                    {"other_born_ms", report.worker_incarnation}});
  }
  successor_ = {std::move(report), now_};
  next_poll_ = now_;
}

// The successor, if any, was not heard of after the poll, which the current
// worker has answered.
void run_supervisor_impl::DismissSuccessor() {
  if (!successor_ || successor_->reported_at > poll_sent_at_)
    return;
  RecordDecision(decision_kind::kOtherWorkerDismissed, "",
                 {{"worker", worker_->report.id},
                  {"other", successor_->report.id},
                  {"other_born_ms", successor_->report.worker_incarnation}});
  successor_.reset();
}

void run_supervisor_impl::OnWorkerDeregistered(worker_deregistered& event) {
  if (!worker_ || worker_->report.id != event.id)
    return;
  // The worker says that it ends, not that its runs have ended. Any process can
  // send this call.
  worker_->leaving = true;
  RecordDecision(decision_kind::kWorkerDeregistered, "",
                 {{"worker", worker_->report.id},
                  {"runs", static_cast<std::int64_t>(runs_.CountAtWorker())}});
  RefuseQueuedRuns(wire::run_reason::kNoWorker);
  ScheduleHeartbeats();
}

void run_supervisor_impl::OnEntriesDiscovered(entries_discovered& event) {
  AddLinks(event.members);
}

// ---- Metrics and records --------------------------------------------------

supervisor_gauges run_supervisor_impl::gauges() const {
  supervisor_gauges gauges;
  gauges.queued = runs_.CountQueued();
  gauges.running = runs_.CountAtWorker();
  gauges.entries = static_cast<std::size_t>(
      std::count_if(links_.begin(), links_.end(), [](const entry_link& link) {
        return link.state != link_state::kClosed && link.responded();
      }));
  gauges.has_worker = worker_ && worker_->described;
  gauges.free = FreeResources();
  gauges.evacuated_domains = evacuations_.CountEvacuated();
  gauges.call_limit = call_limit_.limit();
  return gauges;
}

void run_supervisor_impl::RecordDecision(decision_kind kind,
                                         std::string_view job,
                                         std::vector<event_field> fields) {
  commands_->emplace_back(
      decision_record{kind, std::string(job), std::move(fields)});
}

}  // namespace egretrack::scheduler
