#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "scheduler/run_supervisor_impl.h"

namespace egretrack::scheduler {
namespace {

// After this many consecutive unanswered polls over at least this time the
// worker is silent and its lease is no longer renewed, as it may not be
// processing calls. On a machine that schedules processes in slices of 100 ms,
// several polls may go unanswered without a fault.
constexpr std::uint32_t kMaxUnansweredPolls = 4;
constexpr milliseconds kWorkerSilenceTimeout{250};
// Time by which the last of kMaxUnansweredPolls polls has its outcome, so that
// long time limits do not delay the silence. Four polls with a wait of 30 ms, a
// limit of 20 ms and kPollRetryDelay between them take as long.
constexpr milliseconds kUnansweredPollsBound{260};
// Poll interval while a stopped run has not ended yet.
constexpr milliseconds kStopPollInterval{30};
// Delay after a failed poll. Longer for a silent worker, as each attempt may
// open a new connection.
constexpr milliseconds kPollRetryDelay{20};
constexpr milliseconds kSilentPollRetryDelay{100};
// A run is stalled after it has made no progress for both of these times: the
// time of kStallTimeoutPercents percent of its work, within the limits below,
// and kStallAgeShare of its age. The worker reports progress in whole percent,
// and a straggler on a slow worker takes 50 times the predicted time.
constexpr int kStallTimeoutPercents = 50;
constexpr milliseconds kMinStallTimeout{100};
constexpr milliseconds kMaxStallTimeout{400};
constexpr double kStallAgeShare = 0.04;

microseconds StallTimeout(const agent_run& run, monotonic_time now) {
  const microseconds per_percent =
      run.percent > 0 ? microseconds((run.last_progress - run.started) /
                                     static_cast<std::int64_t>(run.percent))
                      : run.predicted / 100;
  const microseconds timeout = std::clamp<microseconds>(
      kStallTimeoutPercents * per_percent, kMinStallTimeout, kMaxStallTimeout);
  return std::max(timeout, Scale(now - run.started, kStallAgeShare));
}

}  // namespace

bool run_supervisor_impl::MayExtendLease() const {
  if (worker_silent_ || !orphaned_runs_.empty())
    return false;
  return std::none_of(
      runs_.all().begin(), runs_.all().end(), [this](const auto& item) {
        const agent_run& run = item.second;
        return run.lifecycle.phase() == run_phase::kStopping &&
               !run.stop_accepted &&
               now_ - run.stop_requested > options_.stop_timeout;
      });
}

// ---- Polls ----------------------------------------------------------------

bool run_supervisor_impl::NeedsPoll() const {
  if (!worker_)
    return false;
  return worker_silent_ || successor_ || worker_->unverified ||
         !worker_->reconciled || runs_.CountAtWorker() > 0 ||
         !orphaned_runs_.empty() ||
         (runs_.CountQueued() > 0 && !lease_.HasRecentClock(now_)) ||
         worker_->last_end_seen > worker_->last_end_acknowledged;
}

void run_supervisor_impl::PollWorker() {
  if (poll_in_flight_ || !NeedsPoll() || now_ < next_poll_)
    return;
  poll_worker poll;
  poll.target = CallTarget();
  poll.last_end_seen = worker_->last_end_seen;
  const bool running = runs_.CountAtWorker() > 0;
  const bool stopping =
      !orphaned_runs_.empty() ||
      std::any_of(runs_.all().begin(), runs_.all().end(), [](const auto& item) {
        return item.second.lifecycle.phase() == run_phase::kStopping;
      });
  if (running && worker_->reconciled && MayExtendLease() &&
      lease_.HasRecentClock(now_)) {
    poll.lease_until = lease_.Renew(now_);
    poll.wait = stopping ? kStopPollInterval : options_.renew_interval;
  }
  LimitPoll(poll);
  poll_in_flight_ = true;
  poll_wait_ = poll.wait;
  poll_limit_ = poll.time_limit;
  poll_sent_at_ = now_;
  poll_fence_ = poll.target.fence;
  poll_last_end_seen_ = poll.last_end_seen;
  commands_->emplace_back(std::move(poll));
}

// The first poll may use the time that the others do not need at the least. A
// poll after an unanswered one does not wait, which leaves more time for the
// answer.
void run_supervisor_impl::LimitPoll(poll_worker& poll) const {
  poll.time_limit = call_limit_.limit();
  if (worker_silent_)
    return;
  monotonic_time first = now_;
  if (unanswered_polls_ > 0) {
    first = first_unanswered_poll_;
    poll.wait = milliseconds(0);
  }
  const std::uint32_t made = unanswered_polls_ + 1;
  const std::uint32_t later =
      kMaxUnansweredPolls - std::min(made, kMaxUnansweredPolls);
  const monotonic_time end =
      first + kUnansweredPollsBound -
      later * (kPollRetryDelay + call_time_limit::kShortest);
  const auto left = std::chrono::floor<milliseconds>(end - now_) - poll.wait;
  poll.time_limit =
      std::max(std::min(poll.time_limit, left), call_time_limit::kShortest);
}

void run_supervisor_impl::OnPollAnswered(poll_answered& event) {
  LearnCallTime("poll", event.result, PollTime(event), poll_limit_);
  poll_in_flight_ = false;
  next_poll_ = now_;
  if (!worker_)
    return;
  switch (event.result) {
    case worker_call_result::kAccepted:
      break;
    case worker_call_result::kFenced:
      return RaiseFence(poll_fence_);
    case worker_call_result::kOtherIncarnation:
      return OnWorkerEnded();
    case worker_call_result::kUnreachable:
      MarkWorkerSilent("poll", event.failure);
      next_poll_ = now_ + PollRetryDelay(event.result);
      return;
    default:
      CountUnansweredPoll(event.failure);
      next_poll_ = now_ + PollRetryDelay(event.result);
      return;
  }
  if (event.worker_incarnation != worker_->report.worker_incarnation) {
    OnWorkerRestarted(event.worker_incarnation);
    return;
  }
  if (worker_silent_) {
    worker_silent_ = false;
    RecordDecision(decision_kind::kWorkerAnswers, "",
                   {{"worker", worker_->report.id},
                    {"looks_unanswered", std::int64_t{unanswered_polls_}}});
    ScheduleHeartbeats();
  }
  unanswered_polls_ = 0;
  DismissSuccessor();
  worker_->unverified = false;
  worker_->last_contact = now_;
  worker_->last_end_acknowledged =
      std::max(worker_->last_end_acknowledged, poll_last_end_seen_);
  lease_.ObserveClock(event.worker_clock, now_);
  ApplyEnded(event.ended);
  ApplyRunning(event.running, !event.more_ends);
  if (!worker_->reconciled && orphaned_runs_.empty()) {
    worker_->reconciled = true;
    ScheduleHeartbeats();
  }
}

// Runs whose worker cannot be reached wait for the lease to lapse, or for a new
// incarnation of the worker to answer, which shows their end sooner.
milliseconds run_supervisor_impl::PollRetryDelay(
    worker_call_result failure) const {
  const bool runs_wait =
      failure == worker_call_result::kUnreachable && runs_.CountAtWorker() > 0;
  return worker_silent_ && !runs_wait ? kSilentPollRetryDelay : kPollRetryDelay;
}

void run_supervisor_impl::CountUnansweredPoll(std::string_view failure) {
  if (unanswered_polls_ == 0)
    first_unanswered_poll_ = poll_sent_at_;
  ++unanswered_polls_;
  if (unanswered_polls_ >= kMaxUnansweredPolls &&
      now_ - first_unanswered_poll_ >= kWorkerSilenceTimeout) {
    MarkWorkerSilent("poll", failure);
  }
}

// Nothing can be started on a silent worker, so queued runs are returned and
// heartbeats name no worker until a poll is answered again. What runs there may
// go on, so the lease is no longer renewed.
void run_supervisor_impl::MarkWorkerSilent(std::string_view call,
                                           std::string_view failure) {
  if (std::exchange(worker_silent_, true))
    return;
  next_poll_ = now_;
  RecordDecision(decision_kind::kWorkerSilent, "",
                 {{"worker", worker_->report.id},
                  {"born_ms", worker_->report.worker_incarnation},
                  {"call", std::string(call)},
                  {"error", std::string(failure)},
                  {"runs", static_cast<std::int64_t>(runs_.CountAtWorker())},
                  {"lease_left_us", (lease_.expires_at() - now_).count()}});
  RefuseQueuedRuns(wire::run_reason::kNoWorker);
  ScheduleHeartbeats();
}

void run_supervisor_impl::SchedulePoll() {
  next_poll_ = std::min(next_poll_, now_ + kStopPollInterval);
}

// ---- Poll results ---------------------------------------------------------

void run_supervisor_impl::ApplyEnded(const std::vector<ended_row>& ended) {
  for (const ended_row& row : ended) {
    worker_->last_end_seen = std::max(worker_->last_end_seen, row.sequence);
    orphaned_runs_.erase(row.id);
    auto* found = runs_.FindAtWorker(row.id);
    if (found == nullptr)
      continue;
    const agent_run& run = found->second;
    const bool lost = row.end == wire::run_end::kLost;
    const wire::run_reason reason =
        lost && run.stop_reason == wire::run_reason::kNone
            ? wire::run_reason::kLeaseLapsed
            : run.stop_reason;
    // A run may end by itself before its start was confirmed.
    run_evidence evidence = EvidenceOf(run);
    evidence.listed = listed_run{.polled_at = poll_sent_at_, .ended = true};
    EndRun(found->first, row.end, lost ? reason : wire::run_reason::kNone,
           FindRunEndProof(evidence, now_));
  }
}

// `running` lists the runs of the worker when it answered the poll sent at
// poll_sent_at_.
void run_supervisor_impl::ApplyRunning(const std::vector<running_row>& running,
                                       bool ends_complete) {
  std::set<run_id> orphaned;
  std::set<std::uint64_t> listed;
  for (const running_row& row : running) {
    auto* found = runs_.FindAtWorker(row.id);
    if (found == nullptr) {
      orphaned.insert(row.id);
      continue;
    }
    listed.insert(found->first);
    ConfirmStart(found->second);
    if (found->second.lifecycle.phase() == run_phase::kRunning)
      CheckProgress(found->second, row);
  }
  for (const run_id& id : orphaned)
    commands_->emplace_back(stop_run{CallTarget(), id, call_limit_.limit()});
  orphaned_runs_ = std::move(orphaned);

  EndProvenRuns(listed_run{.polled_at = poll_sent_at_,
                           .fence = poll_fence_,
                           .complete = ends_complete},
                listed);
  for (auto& [key, run] : runs_.all()) {
    if (run.start_resolved <= poll_sent_at_)
      run.at_current_incarnation = true;
  }
}

void run_supervisor_impl::CheckProgress(agent_run& run,
                                        const running_row& row) {
  if (row.percent > run.percent) {
    run.percent = row.percent;
    run.last_progress = now_;
    return;
  }
  // Measures until the poll was sent, as the response may have waited in this
  // process.
  const microseconds no_progress_time = poll_sent_at_ - run.last_progress;
  if (no_progress_time <= StallTimeout(run, now_))
    return;
  ++counters_.stalls;
  RecordDecision(decision_kind::kRunStalled, run.id.job_key,
                 {{"task", std::int64_t{run.task}},
                  {"percent", std::int64_t{run.percent}},
                  {"standstill_us", no_progress_time.count()}});
  StopRun(run, wire::run_reason::kStalled);
}

}  // namespace egretrack::scheduler
