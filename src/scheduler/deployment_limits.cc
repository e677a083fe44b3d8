#include "egretrack/scheduler/deployment_limits.h"

#include <algorithm>

#include "scheduler/worker_lease.h"

namespace egretrack::scheduler {
namespace {

// Share of the longest lease that an agent requests. The worker truncates
// longer leases, and its clock may run fast or slow.
constexpr double kLeaseSafetyFactor = 0.7;
// Reserved for the last responses and reports of a draining process.
constexpr milliseconds kFinalMessagesReserve{700};
// Share of the stop grace during which a draining entry accepts jobs; the rest
// remains for the jobs to end.
constexpr double kAcceptTimeShare = 0.5;
// Share of the time until callers resubmit for which an entry dispatches tasks
// of a caller without looking for it again.
constexpr double kCallerAgeShare = 0.25;
// The end of a scaled lease is rounded up.
constexpr milliseconds kRounding{1};

bool IsSet(milliseconds limit) {
  return limit > milliseconds(0);
}

milliseconds ScaleMs(microseconds time, double factor) {
  return std::chrono::duration_cast<milliseconds>(Scale(time, factor));
}

// Factor for an agent's timeouts, so that the runs of a failed entry have ended
// when callers resubmit their jobs.
double ResubmitFactor(const deployment_limits& limits,
                      const supervisor_options& agent) {
  const milliseconds run_end_time = LongestUnattendedRun(agent);
  if (!IsSet(limits.resubmit_after) || limits.resubmit_after >= run_end_time)
    return 1;
  const milliseconds fixed =
      worker_lease::LongestTime(milliseconds(0), agent.clock_drift) + kRounding;
  return static_cast<double>((limits.resubmit_after - fixed).count()) /
         static_cast<double>((run_end_time - fixed).count());
}

milliseconds DrainEnd(const deployment_limits& limits) {
  return std::max(limits.stop_grace - kFinalMessagesReserve, milliseconds(0));
}

}  // namespace

deployment_limits deployment_limits::Create(double longest_lease_ms,
                                            double resubmit_after_ms,
                                            double stop_grace_s) {
  return {ScaleMs(milliseconds(1), longest_lease_ms),
          ScaleMs(milliseconds(1), resubmit_after_ms),
          ScaleMs(seconds(1), stop_grace_s)};
}

void ApplyLimits(const deployment_limits& limits, scheduler_options& options) {
  // An entry does not know its agents' settings and assumes the defaults.
  const double factor = ResubmitFactor(limits, supervisor_options());
  options.agent_silence = ScaleMs(options.agent_silence, factor);
  options.lost_run_timeout = ScaleMs(options.lost_run_timeout, factor);
  if (IsSet(limits.resubmit_after)) {
    options.resubmit_after = limits.resubmit_after;
    options.max_caller_age =
        std::min(options.max_caller_age,
                 ScaleMs(limits.resubmit_after, kCallerAgeShare));
  }
  if (!IsSet(limits.stop_grace))
    return;
  options.drain_end = std::min(options.drain_end, DrainEnd(limits));
  options.drain_bound = std::min(options.drain_bound,
                                 ScaleMs(limits.stop_grace, kAcceptTimeShare));
  options.drain_bound = std::min(options.drain_bound, options.drain_end);
  options.drain_grace = std::min(options.drain_grace, options.drain_bound);
}

void ApplyLimits(const deployment_limits& limits, supervisor_options& options) {
  const double factor = ResubmitFactor(limits, options);
  options.entry_silence = ScaleMs(options.entry_silence, factor);
  options.stop_timeout = ScaleMs(options.stop_timeout, factor);
  options.lease = ScaleMs(options.lease, factor);
  if (IsSet(limits.longest_lease)) {
    options.longest_lease = limits.longest_lease;
    options.lease = std::min(options.lease,
                             ScaleMs(limits.longest_lease, kLeaseSafetyFactor));
  }
  options.longest_lease = std::max(options.longest_lease, options.lease);
  if (IsSet(limits.stop_grace))
    options.drain_bound = std::min(options.drain_bound, DrainEnd(limits));
}

}  // namespace egretrack::scheduler
