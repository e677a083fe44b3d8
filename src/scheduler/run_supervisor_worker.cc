#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "scheduler/run_supervisor_impl.h"

namespace egretrack::scheduler {
namespace {

// Of one order without an answer, before it is fenced off by a stop.
constexpr std::uint32_t kMaxResends = 1;
// Times that a task whose number the worker has seen before gets a higher one.
constexpr std::uint32_t kMaxRenumbered = 3;
// Beyond the attempts that another entry may have made of the same task.
constexpr std::uint32_t kRenumberStep = 16;
// Between two orders to stop a run.
constexpr milliseconds kStopRetry{50};

}  // namespace

order_target run_supervisor_impl::Target() const {
  return {worker_->facts.address, worker_->facts.id, fence_};
}

// ---- Starts ---------------------------------------------------------------

void run_supervisor_impl::StartRuns() {
  if (!worker_ || worker_->draining || !worker_->reconciled ||
      !lease_.clock_known() || !MayExtendLease()) {
    return;
  }
  resources free = worker_->facts.capacity - runs_.Used();
  while (orders_in_flight_ < options_.orders_in_flight) {
    auto* next = runs_.NextToStart(free, now_);
    if (next == nullptr)
      return;
    agent_run& run = next->second;
    run.life.Apply(run_signal::kOrder);
    run.resends = 0;
    run.started = now_;
    run.progressed = now_;
    free -= run.need;
    OrderStart(run);
  }
}

void run_supervisor_impl::OrderStart(agent_run& run) {
  ++counters_.starts;
  ++orders_in_flight_;
  commands_->emplace_back(
      start_run{Target(), run.name, run.spec, lease_.Renew(now_)});
}

void run_supervisor_impl::Confirm(agent_run& run) {
  if (!run.life.Apply(run_signal::kConfirm))
    return;
  run.confirmed = now_;
  next_look_ = now_;
  Record(decision_kind::kRunStarted, run.name.job_key,
         {{"task", std::int64_t{run.task}},
          {"attempt", std::int64_t{run.attempt}},
          {"entry", links_[run.entry].entry()},
          {"queued_us", (run.started - run.received).count()},
          {"predicted_us", run.predicted.count()}});
}

void run_supervisor_impl::OnStartAnswered(start_answered& event) {
  orders_in_flight_ -= std::min(orders_in_flight_, 1U);
  auto* found = runs_.FindNamed(event.name);
  if (found == nullptr)
    return;
  agent_run& run = found->second;
  if (run.life.phase() != run_phase::kStarting)
    return;
  const std::uint64_t number = found->first;
  if (event.result == order_result::kUnreachable)
    return ForgetWorker(decision_kind::kWorkerGone);
  // What a later order is told says nothing about an earlier one that got no
  // answer and may still be carried out.
  const bool earlier_may_start = run.resends > 0 &&
                                 event.result != order_result::kAccepted &&
                                 event.result != order_result::kUnanswered;
  if (earlier_may_start)
    return Stop(run, wire::run_reason::kUnanswered);
  switch (event.result) {
    case order_result::kAccepted:
      return Confirm(run);
    case order_result::kFenced:
      RaiseFence();
      run.life.Apply(run_signal::kRequeue);
      return;
    case order_result::kSuperseded:
      run.life.Apply(run_signal::kRequeue);
      if (++run.renumbered > kMaxRenumbered)
        return Refuse(number, wire::run_reason::kWorkerRefused);
      run.name.run += kRenumberStep;
      return;
    case order_result::kUnanswered:
      ++counters_.unanswered;
      Record(decision_kind::kRunUnanswered, run.name.job_key,
             {{"task", std::int64_t{run.task}},
              {"resends", std::int64_t{run.resends}},
              {"age_us", (now_ - run.started).count()}});
      if (++run.resends <= kMaxResends && MayExtendLease())
        return OrderStart(run);
      return Stop(run, wire::run_reason::kUnanswered);
    case order_result::kNoRoom:
      return Refuse(number, wire::run_reason::kNoRoom);
    case order_result::kTooLate:
    case order_result::kRejected:
    case order_result::kOtherLife:
    case order_result::kUnreachable:
      return Refuse(number, wire::run_reason::kWorkerRefused);
  }
}

// The worker has done nothing and will not.
void run_supervisor_impl::Refuse(std::uint64_t number,
                                 wire::run_reason reason) {
  agent_run& run = *runs_.Find(number);
  ++counters_.refusals;
  run.started = {};
  Report(run, wire::run_end::kRefused, reason);
  Record(decision_kind::kRunRefused, run.name.job_key,
         {{"task", std::int64_t{run.task}},
          {"attempt", std::int64_t{run.attempt}},
          {"reason", std::string(wire::Name(reason))},
          {"queued_us", (now_ - run.received).count()},
          {"start_by_in_us", run.start_by == monotonic_time::min()
                                 ? std::int64_t{0}
                                 : (run.start_by - now_).count()}});
  run.life.Apply(run_signal::kEnd);
  runs_.Erase(number);
}

void run_supervisor_impl::RefuseQueued(wire::run_reason reason) {
  std::vector<std::uint64_t> queued;
  for (const auto& [number, run] : runs_.all()) {
    if (run.life.phase() == run_phase::kQueued)
      queued.push_back(number);
  }
  for (const std::uint64_t number : queued)
    Refuse(number, reason);
}

// ---- Stops ----------------------------------------------------------------

void run_supervisor_impl::Stop(agent_run& run, wire::run_reason reason) {
  if (!run.life.Apply(run_signal::kStop))
    return;
  ++counters_.stops;
  run.reason = reason;
  run.stop_ordered = now_;
  Record(decision_kind::kRunStopped, run.name.job_key,
         {{"task", std::int64_t{run.task}},
          {"attempt", std::int64_t{run.attempt}},
          {"reason", std::string(wire::Name(reason))},
          {"age_us", (now_ - run.started).count()},
          {"percent", std::int64_t{run.percent}}});
  run.next_stop = now_;
  OrderStops();
}

// Stops are not held back by the bound on orders in flight: they free room and
// keep two runs of one task apart.
void run_supervisor_impl::OrderStops() {
  if (!worker_)
    return;
  for (auto& [number, run] : runs_.all()) {
    const bool due = run.life.phase() == run_phase::kStopping &&
                     !run.stop_accepted && !run.stop_in_flight &&
                     now_ >= run.next_stop;
    if (!due)
      continue;
    run.stop_in_flight = true;
    commands_->emplace_back(stop_run{Target(), run.name});
  }
}

void run_supervisor_impl::OnStopAnswered(stop_answered& event) {
  if (event.result == order_result::kFenced)
    RaiseFence();
  auto* found = runs_.FindNamed(event.name);
  if (found == nullptr || found->second.life.phase() != run_phase::kStopping)
    return;
  agent_run& run = found->second;
  run.stop_in_flight = false;
  if (event.result == order_result::kUnreachable)
    return ForgetWorker(decision_kind::kWorkerGone);
  if (event.result == order_result::kOtherLife)
    return ForgetWorker(decision_kind::kWorkerRestarted);
  if (event.result != order_result::kAccepted) {
    run.next_stop = now_ + kStopRetry;
    return;
  }
  run.stop_accepted = true;
  run.stop_accepted_at = now_;
  LookSoon();
}

// ---- Ends -----------------------------------------------------------------

void run_supervisor_impl::End(std::uint64_t number,
                              wire::run_end end,
                              wire::run_reason reason) {
  agent_run& run = *runs_.Find(number);
  ++counters_.ends;
  if (end == wire::run_end::kLost)
    ++counters_.losses;
  Report(run, end, reason);
  Record(decision_kind::kRunEnded, run.name.job_key,
         {{"task", std::int64_t{run.task}},
          {"attempt", std::int64_t{run.attempt}},
          {"end", std::string(wire::Name(end))},
          {"reason", std::string(wire::Name(reason))},
          {"ran_us", (now_ - run.started).count()},
          {"predicted_us", run.predicted.count()}});
  run.life.Apply(run_signal::kEnd);
  runs_.Erase(number);
}

void run_supervisor_impl::LoseAllRuns(wire::run_reason reason) {
  std::vector<std::uint64_t> at_worker;
  for (const auto& [number, run] : runs_.all()) {
    if (run.life.holds_room())
      at_worker.push_back(number);
  }
  for (const std::uint64_t number : at_worker)
    End(number, wire::run_end::kLost, reason);
}

// ---- The worker's life ----------------------------------------------------

void run_supervisor_impl::RaiseFence() {
  fence_ += fence_step_;
  fence_step_ *= 2;
  Record(decision_kind::kFenceRaised, "",
         {{"fence", static_cast<std::int64_t>(fence_)}});
}

// Whatever ran there has ended with the worker.
void run_supervisor_impl::ForgetWorker(decision_kind why) {
  Record(why, "",
         {{"worker", worker_->facts.id},
          {"runs", static_cast<std::int64_t>(runs_.CountAtWorker())}});
  LoseAllRuns(wire::run_reason::kWorkerLost);
  RefuseQueued(wire::run_reason::kNoWorker);
  worker_.reset();
  lease_.Reset();
  foreign_.clear();
  looks_unanswered_ = 0;
  worker_silent_ = false;
  next_look_ = now_;
  BeatSoon();
}

void run_supervisor_impl::CheckWorker() {
  if (!worker_)
    return;
  const bool at_worker = runs_.CountAtWorker() > 0;
  if (at_worker && now_ > lease_.expires_at()) {
    Record(decision_kind::kLeaseLapsed, "",
           {{"worker", worker_->facts.id},
            {"late_us", (now_ - lease_.expires_at()).count()}});
    LoseAllRuns(wire::run_reason::kLeaseLapsed);
  }
  if (now_ - worker_->heard > options_.worker_report_bound)
    ForgetWorker(decision_kind::kWorkerGone);
}

}  // namespace egretrack::scheduler
