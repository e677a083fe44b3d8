#include "egretrack/net/traffic_guard.h"

#include <gtest/gtest.h>

#include "egretrack/net/limit_report.h"
#include "net/connection_ledger.h"

namespace egretrack::net {
namespace {

constexpr traffic_budget kBudget{.held_bytes = 1000, .connections = 10};

// Replays requests that together hold more than the process may. Guards against
// keeping all of them, and against closing one that is being served.
TEST(TrafficGuard, ClosesConnectionsAboveHeldBytes) {
  traffic_guard guard(kBudget);
  int closed_served = 0;
  int closed_small = 0;
  int closed_large = 0;
  const auto served = guard.Open(nullptr, 10, [&] { ++closed_served; });
  const auto small = guard.Open(nullptr, 10, [&] { ++closed_small; });
  const auto large = guard.Open(nullptr, 10, [&] { ++closed_large; });
  ASSERT_TRUE(served && small && large);
  guard.Update(*served, connection_phase::kServing, 500);
  guard.Update(*small, connection_phase::kReceiving, 10);
  guard.Update(*large, connection_phase::kReceiving, 400);
  EXPECT_EQ(closed_large, 0);
  guard.Update(*large, connection_phase::kReceiving, 800'000);
  EXPECT_EQ(closed_large, 1);
  EXPECT_EQ(closed_small, 0);
  EXPECT_EQ(closed_served, 0);
  EXPECT_EQ(guard.held_bytes(), 510U);
  EXPECT_EQ(guard.count(traffic_limit::kHeldBytes), 1U);
}

// Guards against a limit of connections that counts each port alone: the
// descriptors belong to the process.
TEST(TrafficGuard, BoundsConnectionsOfAllServers) {
  traffic_guard guard(kBudget);
  const int servers[2] = {};
  int closed = 0;
  for (int count = 0; count < 20; ++count)
    EXPECT_TRUE(guard.Open(&servers[count % 2], 10, [&] { ++closed; }));
  EXPECT_EQ(guard.connections(), 10U);
  EXPECT_EQ(closed, 10);
}

// Guards against a flood of clients that floods the log, and against limits
// that an operator never sees.
TEST(LimitReport, ReportsChangesAtIntervals) {
  traffic_guard guard(kBudget);
  limit_report report;
  const monotonic_time start{seconds(100)};
  EXPECT_TRUE(report.Take(guard, start).empty());
  guard.Count(traffic_limit::kBodyBytes);
  ASSERT_EQ(report.Take(guard, start).size(), 1U);
  guard.Count(traffic_limit::kBodyBytes);
  guard.Count(traffic_limit::kBodyBytes);
  EXPECT_TRUE(report.Take(guard, start + seconds(1)).empty());
  const auto changes = report.Take(guard, start + seconds(11));
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_EQ(changes[0].limit, traffic_limit::kBodyBytes);
  EXPECT_EQ(changes[0].count, 2U);
  EXPECT_EQ(changes[0].total, 3U);
}

}  // namespace
}  // namespace egretrack::net
