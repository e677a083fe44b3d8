#ifndef EGRETRACK_SCHEDULER_DEPLOYMENT_LIMITS_H_
#define EGRETRACK_SCHEDULER_DEPLOYMENT_LIMITS_H_

#include "egretrack/base/time.h"
#include "egretrack/scheduler/job_scheduler.h"
#include "egretrack/scheduler/run_supervisor.h"

namespace egretrack::scheduler {

// What a deployment demands of the time limits. 0: nothing is demanded.
struct deployment_limits {
  milliseconds longest_lease{0};   // That a worker grants.
  milliseconds resubmit_after{0};  // Callers send a job again after this time.
  milliseconds stop_grace{0};      // From the signal to stop until the kill.

  // From the numbers of a process's settings, cut to whole milliseconds.
  static deployment_limits Create(double longest_lease_ms,
                                  double resubmit_after_ms,
                                  double stop_grace_s);
};

// Shorten the limits that are too long for the deployment.
void ApplyLimits(const deployment_limits& limits, scheduler_options& options);
void ApplyLimits(const deployment_limits& limits, supervisor_options& options);

}  // namespace egretrack::scheduler

#endif  // EGRETRACK_SCHEDULER_DEPLOYMENT_LIMITS_H_
