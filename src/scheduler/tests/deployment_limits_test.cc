#include "egretrack/scheduler/deployment_limits.h"

#include <gtest/gtest.h>

namespace egretrack::scheduler {
namespace {

// Guards against defaults that change where the deployment allows them.
TEST(DeploymentLimits, LeavesFittingLimitsAlone) {
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

// Guards against a run that goes on while its job runs again elsewhere.
TEST(DeploymentLimits, EndsRunsBeforeJobsAreSentAgain) {
  deployment_limits limits;
  limits.resubmit_after = milliseconds(900);
  supervisor_options agent;
  ApplyLimits(limits, agent);
  EXPECT_LE(agent.entry_silence + agent.lease, limits.resubmit_after);
  EXPECT_GT(agent.lease, agent.renew_interval);
}

// Guards against longer limits in the settings that are taken for the defaults.
TEST(DeploymentLimits, ShortensLimitsBeyondTheDefaults) {
  deployment_limits limits;
  limits.resubmit_after = milliseconds(1300);
  supervisor_options agent;
  agent.lease = milliseconds(2000);
  ApplyLimits(limits, agent);
  EXPECT_LE(agent.entry_silence + agent.lease, limits.resubmit_after);
}

// Guards against leases that the worker cuts, so that it ends runs before the
// agent renews them.
TEST(DeploymentLimits, AsksForNoLeaseBeyondTheLongest) {
  deployment_limits limits;
  limits.longest_lease = milliseconds(500);
  supervisor_options agent;
  ApplyLimits(limits, agent);
  EXPECT_LT(agent.lease, limits.longest_lease);
}

// Guards against a drain that the platform's kill cuts off.
TEST(DeploymentLimits, DrainsWithinTheGrace) {
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
