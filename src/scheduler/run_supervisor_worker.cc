#include <algorithm>
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
// Delay between two stop calls for a run.
constexpr milliseconds kStopRetryDelay{50};

}  // namespace

worker_call_target run_supervisor_impl::CallTarget() const {
  return {worker_->report.address, worker_->report.id, fence_};
}

// ---- Starts ---------------------------------------------------------------

void run_supervisor_impl::StartRuns() {
  if (!worker_ || worker_->draining || !worker_->reconciled ||
      !lease_.clock_known() || !MayExtendLease()) {
    return;
  }
  // The worker may have started again under its id, in which case it would
  // accept calls for its earlier life.
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
  commands_->emplace_back(
      start_run{CallTarget(), run.id, run.spec, lease_.Renew(now_)});
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
  if (run.lifecycle.phase() != run_phase::kStarting)
    return;
  const std::uint64_t key = found->first;
  if (event.result == worker_call_result::kUnreachable)
    return ForgetWorker(decision_kind::kWorkerGone);
  // The result of a repeated call says nothing about an earlier unanswered
  // call, which may still take effect.
  const bool earlier_may_start =
      run.resends > 0 && event.result != worker_call_result::kAccepted &&
      event.result != worker_call_result::kUnanswered;
  if (earlier_may_start)
    return StopRun(run, wire::run_reason::kUnanswered);
  switch (event.result) {
    case worker_call_result::kAccepted:
      return ConfirmStart(run);
    case worker_call_result::kFenced:
      RaiseFence();
      run.lifecycle.Apply(run_event::kRequeue);
      return;
    case worker_call_result::kSuperseded:
      run.lifecycle.Apply(run_event::kRequeue);
      if (++run.renumberings > kMaxRenumberings)
        return RefuseRun(key, wire::run_reason::kWorkerRefused);
      run.id.run_number += kRenumberStep;
      return;
    case worker_call_result::kUnanswered:
      ++counters_.unanswered;
      RecordDecision(decision_kind::kRunUnanswered, run.id.job_key,
                     {{"task", std::int64_t{run.task}},
                      {"resends", std::int64_t{run.resends}},
                      {"age_us", (now_ - run.started).count()}});
      if (++run.resends <= kMaxResends && MayExtendLease())
        return SendStart(run);
      return StopRun(run, wire::run_reason::kUnanswered);
    case worker_call_result::kNoResources:
      return RefuseRun(key, wire::run_reason::kNoRoom);
    case worker_call_result::kTooLate:
    case worker_call_result::kRejected:
    case worker_call_result::kOtherIncarnation:
    case worker_call_result::kUnreachable:
      return RefuseRun(key, wire::run_reason::kWorkerRefused);
  }
}

// Ends a run that the worker has not started and will not start.
void run_supervisor_impl::RefuseRun(std::uint64_t key,
                                    wire::run_reason reason) {
  agent_run& run = *runs_.Find(key);
  ++counters_.refusals;
  run.started = {};
  ReportRunEnd(run, wire::run_end::kRefused, reason);
  RecordDecision(decision_kind::kRunRefused, run.id.job_key,
                 {{"task", std::int64_t{run.task}},
                  {"attempt", std::int64_t{run.attempt}},
                  {"reason", std::string(wire::Name(reason))},
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

// Stops do not count towards max_starts_in_flight, because they free resources
// and prevent two concurrent runs of one task.
void run_supervisor_impl::SendStops() {
  if (!worker_)
    return;
  for (auto& [key, run] : runs_.all()) {
    const bool due = run.lifecycle.phase() == run_phase::kStopping &&
                     !run.stop_accepted && !run.stop_in_flight &&
                     now_ >= run.next_stop_call;
    if (!due)
      continue;
    run.stop_in_flight = true;
    commands_->emplace_back(stop_run{CallTarget(), run.id});
  }
}

void run_supervisor_impl::OnStopAnswered(stop_answered& event) {
  if (event.result == worker_call_result::kFenced)
    RaiseFence();
  auto* found = runs_.FindAtWorker(event.id);
  if (found == nullptr ||
      found->second.lifecycle.phase() != run_phase::kStopping)
    return;
  agent_run& run = found->second;
  run.stop_in_flight = false;
  if (event.result == worker_call_result::kUnreachable)
    return ForgetWorker(decision_kind::kWorkerGone);
  if (event.result == worker_call_result::kOtherIncarnation)
    return ForgetWorker(decision_kind::kWorkerRestarted);
  if (event.result != worker_call_result::kAccepted) {
    run.next_stop_call = now_ + kStopRetryDelay;
    return;
  }
  run.stop_accepted = true;
  run.stop_accepted_at = now_;
  SchedulePoll();
}

// ---- Ends -----------------------------------------------------------------

void run_supervisor_impl::EndRun(std::uint64_t key,
                                 wire::run_end end,
                                 wire::run_reason reason) {
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
                  {"ran_us", (now_ - run.started).count()},
                  {"predicted_us", run.predicted.count()}});
  run.lifecycle.Apply(run_event::kEnd);
  runs_.Erase(key);
}

void run_supervisor_impl::EndAllRunsAsLost(wire::run_reason reason) {
  std::vector<std::uint64_t> at_worker;
  for (const auto& [key, run] : runs_.all()) {
    if (run.lifecycle.holds_resources())
      at_worker.push_back(key);
  }
  for (const std::uint64_t key : at_worker)
    EndRun(key, wire::run_end::kLost, reason);
}

// ---- Worker incarnations --------------------------------------------------

void run_supervisor_impl::RaiseFence() {
  fence_ += fence_step_;
  fence_step_ *= 2;
  RecordDecision(decision_kind::kFenceRaised, "",
                 {{"fence", static_cast<std::int64_t>(fence_)}});
}

// All runs at the worker have ended with it.
void run_supervisor_impl::ForgetWorker(decision_kind reason) {
  RecordDecision(reason, "",
                 {{"worker", worker_->report.id},
                  {"runs", static_cast<std::int64_t>(runs_.CountAtWorker())}});
  EndAllRunsAsLost(wire::run_reason::kWorkerLost);
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

void run_supervisor_impl::CheckWorker() {
  if (!worker_)
    return;
  const bool at_worker = runs_.CountAtWorker() > 0;
  if (at_worker && now_ > lease_.expires_at()) {
    RecordDecision(decision_kind::kLeaseLapsed, "",
                   {{"worker", worker_->report.id},
                    {"late_us", (now_ - lease_.expires_at()).count()}});
    EndAllRunsAsLost(wire::run_reason::kLeaseLapsed);
  }
  const bool replaced =
      successor_ && worker_silent_ && runs_.CountAtWorker() == 0;
  if (replaced ||
      now_ - worker_->last_contact > options_.worker_report_timeout) {
    ForgetWorker(decision_kind::kWorkerGone);
  }
}

}  // namespace egretrack::scheduler
