#include <algorithm>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "scheduler/run_supervisor_impl.h"

namespace egretrack::scheduler {
namespace {

// Repetitions of an unanswered start call before the run is stopped.
constexpr std::uint32_t kMaxResends = 1;
// How often a run gets a higher number after the worker refused it as
// superseded.
constexpr std::uint32_t kMaxRenumberings = 3;
// Larger than the number of attempts that another entry may have made for the
// same task.
constexpr std::uint32_t kRenumberStep = 16;

}  // namespace

// ---- Starts ---------------------------------------------------------------

void run_supervisor_impl::StartRuns() {
  if (evacuated_ || !HasUsableWorker() || worker_->draining ||
      !worker_->reconciled || !lease_.HasRecentClock(now_) ||
      !MayExtendLease()) {
    return;
  }
  // The worker may have started again under its id, in which case it would
  // accept calls for its earlier incarnation.
  if (successor_ && successor_->report.id == worker_->report.id)
    return;
  resources free = worker_->report.capacity - runs_.UsedResources();
  while (starts_in_flight_ < options_.max_starts_in_flight) {
    auto* next = runs_.NextToStart(free, now_);
    if (next == nullptr)
      return;
    agent_run& run = next->second;
    run.lifecycle.Apply(run_event::kStart);
    run.resends = 0;
    run.started = now_;
    run.last_progress = now_;
    free -= run.need;
    SendStart(run);
  }
}

void run_supervisor_impl::SendStart(agent_run& run) {
  ++counters_.starts;
  ++starts_in_flight_;
  ++run.unrefused_starts;
  run.start_fence = fence_;
  run.start_resolved = monotonic_time::max();
  run.at_current_incarnation = false;
  run.lease_confirmed = false;
  run.lease_until = lease_.Renew(now_);
  run.start_limit = StartLimit(run);
  commands_->emplace_back(start_run{CallTarget(), run.id, run.spec,
                                    run.lease_until, run.start_limit});
}

void run_supervisor_impl::ConfirmStart(agent_run& run) {
  if (!run.lifecycle.Apply(run_event::kConfirm))
    return;
  run.confirmed = now_;
  next_poll_ = now_;
  RecordDecision(decision_kind::kRunStarted, run.id.job_key,
                 {{"task", std::int64_t{run.task}},
                  {"attempt", std::int64_t{run.attempt}},
                  {"entry", links_[run.entry].entry()},
                  {"queued_us", (run.started - run.received).count()},
                  {"predicted_us", run.predicted.count()}});
}

void run_supervisor_impl::OnStartAnswered(start_answered& event) {
  starts_in_flight_ -= std::min(starts_in_flight_, 1U);
  auto* found = runs_.FindAtWorker(event.id);
  if (found == nullptr)
    return;
  agent_run& run = found->second;
  LearnCallTime("start", event.result, event.call_time, run.start_limit);
  run.start_resolved = now_;
  run.lease_confirmed =
      event.worker_clock && lease_.Covers(run.lease_until, *event.worker_clock);
  const bool refused = event.result != worker_call_result::kAccepted &&
                       event.result != worker_call_result::kUnanswered;
  run.unrefused_starts -= refused && run.unrefused_starts > 0 ? 1 : 0;
  if (run.lifecycle.phase() != run_phase::kStarting)
    return;
  if (event.result == worker_call_result::kAccepted)
    return ConfirmStart(run);
  if (event.result == worker_call_result::kUnanswered)
    return OnStartUnanswered(run, event.failure);
  if (event.result == worker_call_result::kUnreachable)
    MarkWorkerSilent("start", event.failure);
  const run_begin_proof begin = FindRunBeginProof(EvidenceOf(run));
  if (begin == run_begin_proof::kMayHaveBegun)
    return StopRun(run, wire::run_reason::kUnanswered);
  OnStartRefused(found->first, event.result, begin);
}

void run_supervisor_impl::OnStartUnanswered(agent_run& run,
                                            std::string_view failure) {
  ++counters_.unanswered;
  RecordDecision(decision_kind::kRunUnanswered, run.id.job_key,
                 {{"task", std::int64_t{run.task}},
                  {"resends", std::int64_t{run.resends}},
                  {"error", std::string(failure)},
                  {"age_us", (now_ - run.started).count()},
                  {"limit_us", microseconds(run.start_limit).count()}});
  if (!evacuated_ && ++run.resends <= kMaxResends && MayExtendLease())
    return SendStart(run);
  StopRun(run, evacuated_ ? wire::run_reason::kEvacuated
                          : wire::run_reason::kUnanswered);
}

// The task may be started again at once: by this agent where only a number was
// refused, otherwise by another one.
void run_supervisor_impl::OnStartRefused(std::uint64_t key,
                                         worker_call_result result,
                                         run_begin_proof proof) {
  agent_run& run = *runs_.Find(key);
  switch (result) {
    case worker_call_result::kFenced:
      RaiseFence(run.start_fence);
      run.lifecycle.Apply(run_event::kRequeue);
      return;
    case worker_call_result::kSuperseded:
      if (++run.renumberings > kMaxRenumberings)
        return RefuseRun(key, wire::run_reason::kWorkerRefused, proof);
      run.lifecycle.Apply(run_event::kRequeue);
      run.id.run_number += kRenumberStep;
      return;
    case worker_call_result::kNoResources:
      return RefuseRun(key, wire::run_reason::kNoRoom, proof);
    case worker_call_result::kUnreachable:
      return RefuseRun(key, wire::run_reason::kNoWorker, proof);
    case worker_call_result::kOtherIncarnation:
      worker_->unverified = true;
      return RefuseRun(key, wire::run_reason::kWorkerRefused, proof);
    default:
      return RefuseRun(key, wire::run_reason::kWorkerRefused, proof);
  }
}

// Ends a run that the worker has not started and will not start.
void run_supervisor_impl::RefuseRun(std::uint64_t key,
                                    wire::run_reason reason,
                                    run_begin_proof proof) {
  agent_run& run = *runs_.Find(key);
  ++counters_.refusals;
  counters_.evacuation_refusals += reason == wire::run_reason::kEvacuated;
  run.started = {};
  ReportRunEnd(run, wire::run_end::kRefused, reason);
  RecordDecision(decision_kind::kRunRefused, run.id.job_key,
                 {{"task", std::int64_t{run.task}},
                  {"attempt", std::int64_t{run.attempt}},
                  {"reason", std::string(wire::Name(reason))},
                  {"proof", std::string(Name(proof))},
                  {"queued_us", (now_ - run.received).count()},
                  {"start_by_in_us", run.start_by == monotonic_time::min()
                                         ? std::int64_t{0}
                                         : (run.start_by - now_).count()}});
  run.lifecycle.Apply(run_event::kEnd);
  runs_.Erase(key);
}

void run_supervisor_impl::RefuseQueuedRuns(wire::run_reason reason) {
  std::vector<std::uint64_t> queued;
  for (const auto& [key, run] : runs_.all()) {
    if (run.lifecycle.phase() == run_phase::kQueued)
      queued.push_back(key);
  }
  for (const std::uint64_t key : queued)
    RefuseRun(key, reason);
}

// ---- Stops ----------------------------------------------------------------

void run_supervisor_impl::StopRun(agent_run& run, wire::run_reason reason) {
  if (!run.lifecycle.Apply(run_event::kStop))
    return;
  ++counters_.stops;
  run.stop_reason = reason;
  run.stop_requested = now_;
  RecordDecision(decision_kind::kRunStopped, run.id.job_key,
                 {{"task", std::int64_t{run.task}},
                  {"attempt", std::int64_t{run.attempt}},
                  {"reason", std::string(wire::Name(reason))},
                  {"age_us", (now_ - run.started).count()},
                  {"percent", std::int64_t{run.percent}}});
  run.next_stop_call = now_;
  SendStops();
}

// ---- Ends -----------------------------------------------------------------

run_evidence run_supervisor_impl::EvidenceOf(const agent_run& run) const {
  run_evidence evidence;
  evidence.start_sent = run.lifecycle.phase() != run_phase::kQueued;
  evidence.unrefused_starts = run.unrefused_starts;
  evidence.restarted_since_start = run.restarted_since_start;
  evidence.start_fence = run.start_fence;
  evidence.start_resolved_at = run.start_resolved;
  evidence.stopping = run.lifecycle.phase() == run_phase::kStopping;
  if (run.confirmed != monotonic_time{})
    evidence.confirmed_at = run.confirmed;
  if (run.stop_accepted)
    evidence.stop_accepted_at = run.stop_accepted_at;
  evidence.at_current_incarnation = run.at_current_incarnation;
  evidence.lease_end = LeaseEnd(run);
  return evidence;
}

monotonic_time run_supervisor_impl::LeaseEnd(const agent_run& run) const {
  if (run.at_current_incarnation || run.lease_confirmed)
    return lease_.expires_at();
  return std::max(lease_.expires_at(), lease_.latest_expiry());
}

// An earlier incarnation of the agent has renewed no lease since the start of
// this one.
monotonic_time run_supervisor_impl::OrphanLeaseEnd() const {
  return std::max(first_event_at_ + 2 * options_.longest_lease,
                  lease_.latest_expiry());
}

void run_supervisor_impl::EndProvenRuns(
    const std::optional<listed_run>& listed,
    const std::set<std::uint64_t>& running) {
  std::vector<proven_end> ended;
  for (const auto& [key, run] : runs_.all()) {
    if (!run.lifecycle.holds_resources())
      continue;
    run_evidence evidence = EvidenceOf(run);
    evidence.listed = listed;
    if (evidence.listed)
      evidence.listed->running = running.contains(key);
    const run_end_proof proof = FindRunEndProof(evidence, now_);
    if (proof != run_end_proof::kNone)
      ended.push_back({key, proof, FindRunBeginProof(evidence)});
  }
  for (const proven_end& end : ended)
    EndProvenRun(end);
}

// Ends a run of which the worker did not say how it ended.
void run_supervisor_impl::EndProvenRun(const proven_end& end) {
  const auto [key, proof, begin] = end;
  const agent_run& run = *runs_.Find(key);
  if (begin != run_begin_proof::kMayHaveBegun)
    return RefuseRun(key, run.stop_reason, begin);
  wire::run_reason reason = run.stop_reason;
  if (proof == run_end_proof::kWorkerEnded || run.restarted_since_start)
    reason = wire::run_reason::kWorkerLost;
  else if (proof == run_end_proof::kLeaseLapsed)
    reason = wire::run_reason::kLeaseLapsed;
  EndRun(key, wire::run_end::kLost, reason, proof);
}

void run_supervisor_impl::EndRun(std::uint64_t key,
                                 wire::run_end end,
                                 wire::run_reason reason,
                                 run_end_proof proof) {
  agent_run& run = *runs_.Find(key);
  ++counters_.ends;
  if (end == wire::run_end::kLost)
    ++counters_.losses;
  ReportRunEnd(run, end, reason);
  RecordDecision(decision_kind::kRunEnded, run.id.job_key,
                 {{"task", std::int64_t{run.task}},
                  {"attempt", std::int64_t{run.attempt}},
                  {"end", std::string(wire::Name(end))},
                  {"reason", std::string(wire::Name(reason))},
                  {"proof", std::string(Name(proof))},
                  {"ran_us", (now_ - run.started).count()},
                  {"predicted_us", run.predicted.count()}});
  run.lifecycle.Apply(run_event::kEnd);
  runs_.Erase(key);
}

// ---- Worker incarnations --------------------------------------------------

// A call with an earlier token than the current one says nothing about the
// current one.
void run_supervisor_impl::RaiseFence(std::uint64_t refused) {
  if (refused < fence_)
    return;
  fence_ += fence_step_;
  fence_step_ *= 2;
  RecordDecision(decision_kind::kFenceRaised, "",
                 {{"fence", static_cast<std::int64_t>(fence_)}});
}

// A worker with another id answers at the address.
void run_supervisor_impl::OnWorkerEnded() {
  listed_run listed;
  listed.other_worker = true;
  EndProvenRuns(listed);
  ForgetWorker(decision_kind::kWorkerRestarted);
}

// The worker has started again under its id. A start call for its earlier
// incarnation may have reached the new one, or may still do so. From the first
// poll with a higher token on, the worker ignores such calls.
void run_supervisor_impl::OnWorkerRestarted(std::int64_t worker_incarnation) {
  RecordDecision(decision_kind::kWorkerRestarted, "",
                 {{"worker", worker_->report.id},
                  {"born_ms", worker_->report.worker_incarnation},
                  {"new_born_ms", worker_incarnation},
                  {"runs", static_cast<std::int64_t>(runs_.CountAtWorker())}});
  listed_run listed;
  listed.other_incarnation = true;
  EndProvenRuns(listed);
  RefuseQueuedRuns(wire::run_reason::kNoWorker);
  worker_report report = std::move(worker_->report);
  report.worker_incarnation = worker_incarnation;
  report.sequence = 0;
  report.draining = false;
  worker_.emplace();
  worker_->last_contact = now_;
  worker_->described = false;
  worker_->report = std::move(report);
  lease_.Reset();
  orphaned_runs_.clear();
  ++fence_;
  for (auto& [key, run] : runs_.all()) {
    run.stop_accepted = false;
    run.restarted_since_start = run.unrefused_starts > 0;
    StopRun(run, wire::run_reason::kWorkerLost);
  }
  ScheduleHeartbeats();
  if (successor_ && IsSameWorker(successor_->report, worker_->report))
    ApplyReport(std::exchange(successor_, std::nullopt)->report);
}

// Requires that no run is left at the worker, whoever started it.
void run_supervisor_impl::ForgetWorker(decision_kind reason) {
  RecordDecision(reason, "", {{"worker", worker_->report.id}});
  RefuseQueuedRuns(wire::run_reason::kNoWorker);
  worker_.reset();
  lease_.Reset();
  orphaned_runs_.clear();
  unanswered_polls_ = 0;
  worker_silent_ = false;
  next_poll_ = now_;
  ScheduleHeartbeats();
  if (auto successor = std::exchange(successor_, std::nullopt))
    AdoptWorker(std::move(successor->report));
}

bool run_supervisor_impl::HasUsableWorker() const {
  return worker_ && worker_->described && !worker_->leaving && !worker_silent_;
}

void run_supervisor_impl::CheckWorker() {
  if (!worker_)
    return;
  const std::size_t at_worker = runs_.CountAtWorker();
  if (at_worker > 0 && now_ > lease_.expires_at()) {
    EndProvenRuns(std::nullopt);
    if (runs_.CountAtWorker() < at_worker) {
      RecordDecision(decision_kind::kLeaseLapsed, "",
                     {{"worker", worker_->report.id},
                      {"late_us", (now_ - lease_.expires_at()).count()}});
    }
  }
  const bool orphans_left = !orphaned_runs_.empty() && now_ <= OrphanLeaseEnd();
  if (runs_.CountAtWorker() > 0 || orphans_left)
    return;
  const bool ended = (successor_ && worker_silent_) ||
                     (worker_->leaving &&
                      worker_->last_end_seen == worker_->last_end_acknowledged);
  if (ended || now_ - worker_->last_contact > options_.worker_report_timeout) {
    ForgetWorker(decision_kind::kWorkerGone);
  }
}

}  // namespace egretrack::scheduler
