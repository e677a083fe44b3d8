#include "egretrack/scheduler/run_supervisor.h"

#include <algorithm>
#include <utility>

#include "egretrack/base/event_table.h"
#include "scheduler/run_supervisor_impl.h"

namespace egretrack::scheduler {
namespace {

// With no timer due; also bounds how long a missed wake-up would go unseen.
constexpr milliseconds kIdleWake{1000};
// First step by which a refused fencing token is raised; it doubles, so that a
// clock that was set back by an hour costs a dozen refusals. Milliseconds, as
// the first token is a time of day.
constexpr std::uint64_t kFirstFenceStep = 1000;

}  // namespace

result<std::unique_ptr<run_supervisor>> run_supervisor::Create(
    supervisor_options options) {
  const bool valid =
      !options.agent.empty() && options.beat_interval.count() > 0 &&
      options.entry_silence > options.beat_interval &&
      options.lease > options.renew_interval && options.orders_in_flight > 0 &&
      options.clock_drift >= 0 && options.clock_drift < 1;
  if (!valid)
    return MakeError(errc::kInvalidArgument, "options of the run supervisor");
  return std::make_unique<run_supervisor_impl>(std::move(options));
}

run_supervisor_impl::run_supervisor_impl(supervisor_options options)
    : options_(std::move(options)),
      lease_(options_.lease, options_.clock_drift),
      fence_(options_.first_fence),
      fence_step_(kFirstFenceStep) {}

void run_supervisor_impl::Begin(monotonic_time now,
                                std::vector<supervisor_command>& commands) {
  now_ = now;
  commands_ = &commands;
  if (!begun_) {
    begun_ = true;
    born_ = now;
  }
}

void run_supervisor_impl::Handle(supervisor_event event,
                                 monotonic_time now,
                                 std::vector<supervisor_command>& commands) {
  Begin(now, commands);
  // Leases and silence are judged before the event: a process that was
  // suspended must not extend what has lapsed meanwhile.
  CheckLinks();
  CheckWorker();
  using events = event_table<
      supervisor_event, &run_supervisor_impl::OnFrame,
      &run_supervisor_impl::OnWorkerReport, &run_supervisor_impl::OnWorkerLeft,
      &run_supervisor_impl::OnWorkerRecalled,
      &run_supervisor_impl::OnStartAnswered,
      &run_supervisor_impl::OnStopAnswered,
      &run_supervisor_impl::OnLookAnswered,
      &run_supervisor_impl::OnEntriesFound, &run_supervisor_impl::OnDrain>;
  events::Call(*this, event);
}

monotonic_time run_supervisor_impl::Advance(
    monotonic_time now,
    std::vector<supervisor_command>& commands) {
  Begin(now, commands);
  CheckLinks();
  CheckWorker();
  ExpireQueued();
  OrderStops();
  StartRuns();
  Look();
  CheckDrain();
  SendFrames();
  return NextWake();
}

monotonic_time run_supervisor_impl::NextWake() const {
  monotonic_time wake = now_ + kIdleWake;
  const resources free = Free();
  const microseconds interval = LoadInterval();
  for (const entry_link& link : links_) {
    if (link.closed)
      continue;
    wake = std::min(wake, link.next_beat);
    if (HasLoadNews(link, free))
      wake = std::min(wake, link.last_sent + interval);
  }
  for (const auto& [number, run] : runs_.all()) {
    if (run.life.phase() == run_phase::kQueued)
      wake = std::min({wake, run.return_at, run.start_by});
    const bool stop_waits = run.life.phase() == run_phase::kStopping &&
                            !run.stop_accepted && !run.stop_in_flight;
    if (stop_waits && worker_)
      wake = std::min(wake, run.next_stop);
  }
  if (!look_in_flight_ && WantsLook())
    wake = std::min(wake, next_look_);
  if (runs_.CountAtWorker() > 0)
    wake = std::min(wake, lease_.expires_at());
  if (draining_ && !drained_)
    wake = std::min(wake, drain_end_);
  return wake;
}

void run_supervisor_impl::ExpireQueued() {
  std::vector<std::pair<std::uint64_t, wire::run_reason>> expired;
  for (const auto& [number, run] : runs_.all()) {
    if (run.life.phase() != run_phase::kQueued)
      continue;
    if (now_ >= run.start_by)
      expired.emplace_back(number, wire::run_reason::kTooLate);
    else if (now_ >= run.return_at)
      expired.emplace_back(number, wire::run_reason::kQueuedTooLong);
  }
  for (const auto& [number, reason] : expired)
    Refuse(number, reason);
}

// ---- Drain ----------------------------------------------------------------

std::optional<wire::run_reason> run_supervisor_impl::RefusesWork() const {
  if (draining_ || (worker_ && worker_->draining))
    return wire::run_reason::kDraining;
  if (!worker_ || worker_silent_)
    return wire::run_reason::kNoWorker;
  return std::nullopt;
}

void run_supervisor_impl::OnDrain(agent_drain_requested& /*event*/) {
  if (draining_)
    return;
  draining_ = true;
  drain_end_ = now_ + options_.drain_bound;
  BeatSoon();
}

void run_supervisor_impl::CheckDrain() {
  if (!draining_ || drained_)
    return;
  const bool idle =
      runs_.all().empty() && (!worker_ || worker_->seen == worker_->acked);
  if (!idle && now_ < drain_end_)
    return;
  drained_ = true;
  commands_->emplace_back(supervisor_drained{});
}

// ---- Worker ---------------------------------------------------------------

void run_supervisor_impl::OnWorkerReport(worker_report& event) {
  const bool same = worker_ && worker_->facts.id == event.id &&
                    worker_->facts.born == event.born;
  // A report that was held up on the way, from an earlier life or from this
  // one, tells nothing.
  if (same && event.sequence < worker_->facts.sequence)
    return;
  if (worker_ && !same && event.born < worker_->facts.born)
    return;
  const bool news = !same || event.draining != worker_->facts.draining;
  TakeReport(event);
  if (news)
    commands_->emplace_back(keep_worker{worker_->facts});
}

// The worker itself tells by its next report, and by its answers to looks,
// whether it is still the one that was kept.
void run_supervisor_impl::OnWorkerRecalled(worker_recalled& event) {
  if (!worker_)
    TakeReport(event.report);
}

void run_supervisor_impl::TakeReport(worker_report& report) {
  const bool same = worker_ && worker_->facts.id == report.id &&
                    worker_->facts.born == report.born;
  if (!same) {
    if (worker_)
      ForgetWorker(decision_kind::kWorkerRestarted);
    worker_.emplace();
    Record(decision_kind::kWorkerAppeared, "",
           {{"worker", report.id},
            {"desk", report.desk},
            {"cpu_milli", report.capacity.cpu_milli},
            {"born_ms", report.born}});
    BeatSoon();
  }
  worker_->heard = now_;
  if (report.draining && !worker_->draining) {
    worker_->draining = true;
    Record(decision_kind::kWorkerDraining, "", {{"worker", report.id}});
    BeatSoon();
    RefuseQueued(wire::run_reason::kDraining);
  }
  worker_->facts = std::move(report);
}

void run_supervisor_impl::OnWorkerLeft(worker_left& event) {
  if (worker_ && worker_->facts.id == event.id)
    ForgetWorker(decision_kind::kWorkerGone);
}

void run_supervisor_impl::OnEntriesFound(entries_found& event) {
  AddLinks(event.members);
}

// ---- Reports --------------------------------------------------------------

supervisor_gauges run_supervisor_impl::gauges() const {
  supervisor_gauges gauges;
  gauges.queued = runs_.CountQueued();
  gauges.running = runs_.CountAtWorker();
  gauges.entries = static_cast<std::size_t>(std::count_if(
      links_.begin(), links_.end(),
      [](const entry_link& link) { return !link.closed && link.heard(); }));
  gauges.has_worker = worker_.has_value();
  gauges.free = Free();
  return gauges;
}

void run_supervisor_impl::Record(decision_kind kind,
                                 std::string_view job,
                                 std::vector<event_field> fields) {
  commands_->emplace_back(
      decision_record{kind, std::string(job), std::move(fields)});
}

}  // namespace egretrack::scheduler
