#include <algorithm>
#include <optional>
#include <string_view>

#include "scheduler/run_supervisor_impl.h"

namespace egretrack::scheduler {
namespace {

// Delay between two stop calls for a run.
constexpr milliseconds kStopRetryDelay{50};

}  // namespace

worker_call_target run_supervisor_impl::CallTarget() const {
  return {worker_->report.address, worker_->report.id, fence_};
}

// ---- Stops ----------------------------------------------------------------

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
    run.stop_fence = fence_;
    run.stop_limit = call_limit_.limit();
    commands_->emplace_back(stop_run{CallTarget(), run.id, run.stop_limit});
  }
}

void run_supervisor_impl::OnStopAnswered(stop_answered& event) {
  auto* found = runs_.FindAtWorker(event.id);
  if (found == nullptr ||
      found->second.lifecycle.phase() != run_phase::kStopping)
    return;
  agent_run& run = found->second;
  LearnCallTime("stop", event.result, event.call_time, run.stop_limit);
  run.stop_in_flight = false;
  if (event.result == worker_call_result::kUnreachable)
    MarkWorkerSilent("stop", event.failure);
  if (event.result != worker_call_result::kAccepted) {
    if (event.result == worker_call_result::kFenced)
      RaiseFence(run.stop_fence);
    run.next_stop_call = now_ + kStopRetryDelay;
    return SchedulePoll();
  }
  run.stop_accepted = true;
  run.stop_accepted_at = now_;
  SchedulePoll();
}

// ---- Time limits ----------------------------------------------------------

// The repetition is the last attempt: without an answer to it the run is
// stopped, which costs a task more than the time between the limits.
milliseconds run_supervisor_impl::StartLimit(const agent_run& run) const {
  return run.resends > 0 ? call_limit_.longest() : call_limit_.limit();
}

// A call that failed before its limit, for example because the connection was
// reset, says nothing about the worker's speed.
void run_supervisor_impl::LearnCallTime(std::string_view call,
                                        worker_call_result result,
                                        std::optional<microseconds> time,
                                        milliseconds limit) {
  if (!time || result == worker_call_result::kUnreachable)
    return;
  if (result == worker_call_result::kUnanswered) {
    if (*time >= limit)
      call_limit_.OnTimedOut(limit);
    return;
  }
  call_limit_.OnAnswered(*time);
  commands_->emplace_back(worker_call_measured{call, *time});
}

// A poll is answered before its wait is over when a run ends or the call is
// refused, at a time that is not known here.
std::optional<microseconds> run_supervisor_impl::PollTime(
    const poll_answered& event) const {
  const bool waited =
      event.result == worker_call_result::kUnanswered ||
      (event.result == worker_call_result::kAccepted && event.ended.empty());
  if (poll_wait_ == milliseconds(0))
    return event.call_time;
  if (!event.call_time || !waited || *event.call_time < poll_wait_)
    return std::nullopt;
  return *event.call_time - poll_wait_;
}

}  // namespace egretrack::scheduler
