#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "scheduler/run_supervisor_impl.h"

namespace egretrack::scheduler {
namespace {

// Unanswered looks in a row, over this time, after which the lease is left to
// lapse: whether the worker still obeys is not known any more. A machine that
// gets its processor time in slices of a tenth of a second may miss the answers
// of several looks.
constexpr std::uint32_t kMaxUnansweredLooks = 4;
constexpr milliseconds kWorkerSilence{250};
// A stop that gets no answer for so long has the same effect.
constexpr milliseconds kStopBound{300};
// The worker ends a stopped run within 50 ms and then lists its end.
constexpr milliseconds kStopTime{60};
// Between looks while a stop waits for its end.
constexpr milliseconds kStopLookInterval{30};
// Pause after a look that failed; longer for a silent worker, as each try may
// take a new connection.
constexpr milliseconds kLookRetry{20};
constexpr milliseconds kSilentLookRetry{100};
// A run without progress for so many times what one percent of it takes, and
// for this share of its age, stands still. The worker tells progress in whole
// percent; a straggler on a slow worker takes 50 times what was predicted.
constexpr int kStallFactor = 50;
constexpr milliseconds kShortestStallBound{100};
constexpr milliseconds kLongestStallBound{400};
constexpr double kStallShare = 0.04;

microseconds StallBound(const agent_run& run, monotonic_time now) {
  const microseconds per_percent =
      run.percent > 0 ? microseconds((run.progressed - run.started) /
                                     static_cast<std::int64_t>(run.percent))
                      : run.predicted / 100;
  const microseconds bound = std::clamp<microseconds>(
      kStallFactor * per_percent, kShortestStallBound, kLongestStallBound);
  return std::max(bound, Scale(now - run.started, kStallShare));
}

}  // namespace

bool run_supervisor_impl::MayExtendLease() const {
  if (worker_silent_)
    return false;
  return std::none_of(
      runs_.all().begin(), runs_.all().end(), [this](const auto& held) {
        const agent_run& run = held.second;
        return run.life.phase() == run_phase::kStopping && !run.stop_accepted &&
               now_ - run.stop_ordered > kStopBound;
      });
}

// ---- Looks ----------------------------------------------------------------

bool run_supervisor_impl::WantsLook() const {
  if (!worker_)
    return false;
  return worker_silent_ || !worker_->reconciled || runs_.CountAtWorker() > 0 ||
         !foreign_.empty() || worker_->last_end_seen > worker_->acked;
}

void run_supervisor_impl::Look() {
  if (look_in_flight_ || !WantsLook() || now_ < next_look_)
    return;
  poll_worker look;
  look.target = Target();
  look.last_end_seen = worker_->last_end_seen;
  const bool running = runs_.CountAtWorker() > 0;
  const bool stopping =
      !foreign_.empty() ||
      std::any_of(runs_.all().begin(), runs_.all().end(), [](const auto& held) {
        return held.second.life.phase() == run_phase::kStopping;
      });
  if (running && worker_->reconciled && MayExtendLease() &&
      lease_.clock_known()) {
    look.lease_until = lease_.Renew(now_);
    look.wait = stopping ? kStopLookInterval : options_.renew_interval;
  }
  look_in_flight_ = true;
  look_sent_ = now_;
  look_seen_ = look.last_end_seen;
  commands_->emplace_back(std::move(look));
}

void run_supervisor_impl::OnLookAnswered(poll_answered& event) {
  look_in_flight_ = false;
  next_look_ = now_;
  if (!worker_)
    return;
  switch (event.result) {
    case worker_call_result::kAccepted:
      break;
    case worker_call_result::kFenced:
      return RaiseFence();
    case worker_call_result::kUnreachable:
      return ForgetWorker(decision_kind::kWorkerGone);
    default:
      CountUnansweredLook();
      next_look_ = now_ + (worker_silent_ ? kSilentLookRetry : kLookRetry);
      return;
  }
  if (event.worker_incarnation != worker_->facts.worker_incarnation) {
    ForgetWorker(decision_kind::kWorkerRestarted);
    return;
  }
  if (worker_silent_) {
    worker_silent_ = false;
    Record(decision_kind::kWorkerAnswers, "",
           {{"worker", worker_->facts.id},
            {"looks_unanswered", std::int64_t{looks_unanswered_}}});
    BeatSoon();
  }
  looks_unanswered_ = 0;
  worker_->heard = now_;
  worker_->acked = std::max(worker_->acked, look_seen_);
  lease_.ObserveClock(event.worker_clock, now_);
  TakeEnds(event.ended);
  TakeRunning(event.running);
  if (!worker_->reconciled && foreign_.empty()) {
    worker_->reconciled = true;
    BeatSoon();
  }
}

// Nothing can be started on a silent worker, so that what waits is given back
// and the entries are told that there is none until a look is answered again.
void run_supervisor_impl::CountUnansweredLook() {
  if (looks_unanswered_ == 0)
    first_unanswered_look_ = look_sent_;
  ++looks_unanswered_;
  const bool silent = looks_unanswered_ >= kMaxUnansweredLooks &&
                      now_ - first_unanswered_look_ >= kWorkerSilence;
  if (worker_silent_ || !silent)
    return;
  worker_silent_ = true;
  Record(decision_kind::kWorkerSilent, "",
         {{"worker", worker_->facts.id},
          {"lease_left_us", (lease_.expires_at() - now_).count()}});
  RefuseQueued(wire::run_reason::kNoWorker);
  BeatSoon();
}

void run_supervisor_impl::LookSoon() {
  next_look_ = std::min(next_look_, now_ + kStopLookInterval);
}

// ---- What a look shows ------------------------------------------------------

void run_supervisor_impl::TakeEnds(const std::vector<ended_row>& ended) {
  for (const ended_row& row : ended) {
    worker_->last_end_seen = std::max(worker_->last_end_seen, row.sequence);
    foreign_.erase(row.id);
    auto* found = runs_.FindNamed(row.id);
    if (found == nullptr)
      continue;
    const agent_run& run = found->second;
    const bool lost = row.end == wire::run_end::kLost;
    const wire::run_reason reason =
        lost && run.reason == wire::run_reason::kNone
            ? wire::run_reason::kLeaseLapsed
            : run.reason;
    // A run that never was confirmed may still have ended by itself.
    End(found->first, row.end, lost ? reason : wire::run_reason::kNone);
  }
}

// `running` is what the worker ran when it answered the look sent at
// look_sent_.
void run_supervisor_impl::TakeRunning(const std::vector<running_row>& running) {
  std::set<run_id> foreign;
  std::set<std::uint64_t> listed;
  for (const running_row& row : running) {
    auto* found = runs_.FindNamed(row.id);
    if (found == nullptr) {
      foreign.insert(row.id);
      continue;
    }
    listed.insert(found->first);
    Confirm(found->second);
    if (found->second.life.phase() == run_phase::kRunning)
      CheckProgress(found->second, row);
  }
  for (const run_id& id : foreign)
    commands_->emplace_back(stop_run{Target(), id});
  foreign_ = std::move(foreign);

  std::vector<std::uint64_t> gone;
  for (const auto& [number, run] : runs_.all()) {
    if (listed.contains(number))
      continue;
    const bool ended_unseen =
        run.life.phase() == run_phase::kRunning && run.confirmed < look_sent_;
    const bool stopped = run.life.phase() == run_phase::kStopping &&
                         run.stop_accepted &&
                         run.stop_accepted_at + kStopTime < look_sent_;
    if (ended_unseen || stopped)
      gone.push_back(number);
  }
  for (const std::uint64_t number : gone) {
    const agent_run& run = *runs_.Find(number);
    if (run.reason == wire::run_reason::kUnanswered)
      Refuse(number, run.reason);
    else
      End(number, wire::run_end::kLost, run.reason);
  }
}

void run_supervisor_impl::CheckProgress(agent_run& run,
                                        const running_row& row) {
  if (row.percent > run.percent) {
    run.percent = row.percent;
    run.progressed = now_;
    return;
  }
  // The worker counted after the look was sent; its answer may have waited
  // here.
  const microseconds standstill = look_sent_ - run.progressed;
  if (standstill <= StallBound(run, now_))
    return;
  ++counters_.stalls;
  Record(decision_kind::kRunStalled, run.id.job_key,
         {{"task", std::int64_t{run.task}},
          {"percent", std::int64_t{run.percent}},
          {"standstill_us", standstill.count()}});
  Stop(run, wire::run_reason::kStalled);
}

}  // namespace egretrack::scheduler
