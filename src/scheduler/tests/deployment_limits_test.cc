#include "egretrack/scheduler/deployment_limits.h"

#include <gtest/gtest.h>

namespace egretrack::scheduler {
namespace {

// Guards against changing default options that satisfy the deployment's limits.
TEST(DeploymentLimits, KeepsOptionsWithinTheLimits) {
  const auto limits = deployment_limits::Create(1000, 1300, 6);
  scheduler_options entry;
  ApplyLimits(limits, entry);
  EXPECT_EQ(entry.drain_end, scheduler_options().drain_end);
  EXPECT_EQ(entry.drain_bound, scheduler_options().drain_bound);
  EXPECT_EQ(entry.lost_run_timeout, scheduler_options().lost_run_timeout);
  supervisor_options agent;
  ApplyLimits(limits, agent);
  EXPECT_EQ(agent.lease, supervisor_options().lease);
  EXPECT_EQ(agent.entry_silence, supervisor_options().entry_silence);
  EXPECT_EQ(agent.drain_bound, supervisor_options().drain_bound);
}

// Guards against a run that continues after its job has been resubmitted and
// runs elsewhere.
TEST(DeploymentLimits, EndsRunsBeforeJobsAreResubmitted) {
  deployment_limits limits;
  limits.resubmit_after = milliseconds(900);
  supervisor_options agent;
  ApplyLimits(limits, agent);
  EXPECT_LE(LongestUnattendedRun(agent), limits.resubmit_after);
  EXPECT_GT(agent.lease, agent.renew_interval);
}

// Guards against an entry that dispatches a task again while a silent agent's
// worker may still run it.
TEST(DeploymentLimits, EntryWaitsForTheLongestRunOfASilentAgent) {
  deployment_limits limits;
  for (const int resubmit_ms : {0, 700, 900, 1300, 5000}) {
    limits.resubmit_after = milliseconds(resubmit_ms);
    scheduler_options entry;
    ApplyLimits(limits, entry);
    supervisor_options agent;
    ApplyLimits(limits, agent);
    EXPECT_GE(entry.lost_run_timeout, LongestUnattendedRun(agent));
  }
}

// Guards against computing the factor from the default options when the agent's
// options are longer.
TEST(DeploymentLimits, ShortensOptionsLongerThanTheDefaults) {
  deployment_limits limits;
  limits.resubmit_after = milliseconds(1300);
  supervisor_options agent;
  agent.lease = milliseconds(2000);
  ApplyLimits(limits, agent);
  EXPECT_LE(LongestUnattendedRun(agent), limits.resubmit_after);
}

// Guards against requesting a lease that the worker truncates, so that it stops
// the runs before the agent renews the lease.
TEST(DeploymentLimits, RequestsALeaseShorterThanTheLongest) {
  deployment_limits limits;
  limits.longest_lease = milliseconds(500);
  supervisor_options agent;
  ApplyLimits(limits, agent);
  EXPECT_LT(agent.lease, limits.longest_lease);
}

// Guards against a drain that is still running when the platform kills the
// process.
TEST(DeploymentLimits, DrainsWithinTheStopGrace) {
  deployment_limits limits;
  limits.stop_grace = milliseconds(3000);
  scheduler_options entry;
  ApplyLimits(limits, entry);
  EXPECT_LT(entry.drain_end, limits.stop_grace);
  EXPECT_LE(entry.drain_bound, entry.drain_end);
  EXPECT_LE(entry.drain_grace, entry.drain_bound);
  supervisor_options agent;
  ApplyLimits(limits, agent);
  EXPECT_LT(agent.drain_bound, limits.stop_grace);
}

}  // namespace
}  // namespace egretrack::scheduler
