#include "scheduler/retry_delay.h"

#include <algorithm>
#include <cmath>

namespace egretrack::scheduler {
namespace {

using decision::job_errc;

// Completions count for about this time, so that the rate follows a change of
// demand within seconds.
constexpr milliseconds kFadingTime{2000};
// With fewer recent completions the rate is unknown.
constexpr double kMinCompletions = 4;
// Half of the longest delay, so that the spread does not exceed it.
constexpr std::int64_t kMaxDrainSeconds = kMaxRetryDelay.count() / 2;

enum class retry_rule : std::uint8_t {
  kNever,  // A retry of the same job is refused again.
  kSoon,   // Another entry can serve the job at once.
  kWhenDrained,
};

retry_rule RuleOf(job_errc reason) {
  switch (reason) {
    case job_errc::kNotReady:
    case job_errc::kDraining:
      return retry_rule::kSoon;
    case job_errc::kOverloaded:
    case job_errc::kNoEndpoint:
    case job_errc::kRecordsFull:
    case job_errc::kDeadlinePassed:
      return retry_rule::kWhenDrained;
    default:
      return retry_rule::kNever;
  }
}

std::int64_t SecondOf(monotonic_time time) {
  return std::chrono::floor<seconds>(time.time_since_epoch()).count();
}

}  // namespace

double retry_delay::CompletionsAt(monotonic_time now) const {
  const auto elapsed = static_cast<double>((now - updated_).count());
  return completions_ *
         std::exp(-elapsed /
                  static_cast<double>(microseconds(kFadingTime).count()));
}

void retry_delay::RecordCompletion(monotonic_time now) {
  completions_ = CompletionsAt(now) + 1;
  updated_ = now;
}

double retry_delay::DrainRate(monotonic_time now) const {
  const double completions = CompletionsAt(now);
  if (completions < kMinCompletions)
    return 0;
  return completions / std::chrono::duration<double>(kFadingTime).count();
}

std::size_t retry_delay::CountReturning(monotonic_time now) const {
  std::size_t callers = 0;
  for (const return_second& each : returning_)
    callers += each.second > SecondOf(now) ? each.callers : 0;
  return callers;
}

void retry_delay::AddReturning(monotonic_time at) {
  const std::int64_t second = SecondOf(at);
  return_second& entry =
      returning_[static_cast<std::size_t>(second) % returning_.size()];
  if (entry.second != second)
    entry = {second, 0};
  ++entry.callers;
}

retry_decision retry_delay::Decide(job_errc reason,
                                   std::size_t backlog,
                                   std::uint64_t caller_hash,
                                   monotonic_time now) {
  retry_decision decision;
  decision.backlog = backlog;
  decision.returning = CountReturning(now);
  decision.drain_rate = DrainRate(now);
  const retry_rule rule = RuleOf(reason);
  if (rule == retry_rule::kNever)
    return decision;
  decision.delay = kMinRetryDelay;
  if (rule == retry_rule::kWhenDrained && decision.drain_rate > 0) {
    // The jobs of the refused callers are done after the backlog. Counting them
    // lets a caller return when the earlier ones have been served.
    const double drain_time =
        static_cast<double>(backlog + decision.returning) / decision.drain_rate;
    const std::int64_t earliest = static_cast<std::int64_t>(
        std::clamp<double>(std::ceil(drain_time), kMinRetryDelay.count(),
                           static_cast<double>(kMaxDrainSeconds)));
    // The delay is sent in whole seconds, so that it is spread over those from
    // the drain time to twice the drain time.
    const auto choices = static_cast<std::uint64_t>(earliest) + 1;
    decision.delay =
        seconds(earliest + static_cast<std::int64_t>(caller_hash % choices));
    AddReturning(now + decision.delay);
  }
  return decision;
}

}  // namespace egretrack::scheduler
