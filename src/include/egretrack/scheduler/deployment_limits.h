#ifndef EGRETRACK_SCHEDULER_DEPLOYMENT_LIMITS_H_
#define EGRETRACK_SCHEDULER_DEPLOYMENT_LIMITS_H_

#include "egretrack/base/time.h"
#include "egretrack/scheduler/job_scheduler.h"
#include "egretrack/scheduler/run_supervisor.h"

namespace egretrack::scheduler {

// Time constraints of a deployment; 0: no constraint.
struct deployment_limits {
  milliseconds longest_lease{0};   // Longest lease that a worker grants.
  milliseconds resubmit_after{0};  // Time until callers resubmit a job.
  milliseconds stop_grace{0};      // Time from the stop signal to the kill.

  // Converts values from the settings, truncated to whole milliseconds.
  static deployment_limits Create(double longest_lease_ms,
                                  double resubmit_after_ms,
                                  double stop_grace_s);
};

// Shorten the options that exceed the limits of the deployment.
void ApplyLimits(const deployment_limits& limits, scheduler_options& options);
void ApplyLimits(const deployment_limits& limits, supervisor_options& options);

}  // namespace egretrack::scheduler

#endif  // EGRETRACK_SCHEDULER_DEPLOYMENT_LIMITS_H_
