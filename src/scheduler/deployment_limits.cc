#include "egretrack/scheduler/deployment_limits.h"

#include <algorithm>

namespace egretrack::scheduler {
namespace {

// A lease near the longest one would be cut by the worker's clock, which may
// run fast or slow.
constexpr double kLeaseShare = 0.7;
// Left to a draining process for its last responses and reports.
constexpr milliseconds kLastMessages{700};
// A draining entry takes jobs for this share of the time that it has, and lets
// them end in the rest.
constexpr double kAcceptShare = 0.5;

bool IsDemanded(milliseconds limit) {
  return limit > milliseconds(0);
}

milliseconds ScaleMs(microseconds time, double factor) {
  return std::chrono::duration_cast<milliseconds>(Scale(time, factor));
}

// How much sooner than by an agent's options runs must end, so that they have
// ended when callers send their jobs again: first the entry is missed, then the
// lease of what it had started lapses.
double EndFactor(const deployment_limits& limits,
                 const supervisor_options& agent) {
  const milliseconds longest = agent.entry_silence + agent.lease;
  if (!IsDemanded(limits.resubmit_after) || limits.resubmit_after >= longest)
    return 1;
  return static_cast<double>(limits.resubmit_after.count()) /
         static_cast<double>(longest.count());
}

milliseconds DrainEnd(const deployment_limits& limits) {
  return std::max(limits.stop_grace - kLastMessages, milliseconds(0));
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
  // An entry does not know its agents' settings.
  const double factor = EndFactor(limits, supervisor_options());
  options.agent_silence = ScaleMs(options.agent_silence, factor);
  options.lost_run_timeout = ScaleMs(options.lost_run_timeout, factor);
  if (!IsDemanded(limits.stop_grace))
    return;
  options.drain_end = std::min(options.drain_end, DrainEnd(limits));
  options.drain_bound =
      std::min(options.drain_bound, ScaleMs(limits.stop_grace, kAcceptShare));
  options.drain_bound = std::min(options.drain_bound, options.drain_end);
  options.drain_grace = std::min(options.drain_grace, options.drain_bound);
}

void ApplyLimits(const deployment_limits& limits, supervisor_options& options) {
  const double factor = EndFactor(limits, options);
  options.entry_silence = ScaleMs(options.entry_silence, factor);
  options.lease = ScaleMs(options.lease, factor);
  if (IsDemanded(limits.longest_lease)) {
    options.lease =
        std::min(options.lease, ScaleMs(limits.longest_lease, kLeaseShare));
  }
  if (IsDemanded(limits.stop_grace))
    options.drain_bound = std::min(options.drain_bound, DrainEnd(limits));
}

}  // namespace egretrack::scheduler
