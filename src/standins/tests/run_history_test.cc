#include "standins/run_history.h"

#include <gtest/gtest.h>

namespace egretrack::standins {
namespace {

// Guards against a soak that does not see two runs of one task.
TEST(RunHistory, SeesTwoRunsAtTheSameTime) {
  run_history history;
  history.Begin("j.0.0.1", 0, {});
  history.End("j.0.0.1", 0, false, {});
  history.Begin("j.0.0.1", 1, {});
  EXPECT_TRUE(history.violations().empty());
  history.Begin("j.0.0.1", 2, {});
  EXPECT_EQ(history.violations().size(), 1U);
}

// Guards against a soak that takes an idle worker for a busy one.
TEST(RunHistory, CountsRunsByWorker) {
  run_history history;
  history.Begin("j.0.0.1", 0, {});
  history.Begin("j.0.0.2", 2, {});
  EXPECT_EQ(history.CountRunsOf(0), 1U);
  EXPECT_EQ(history.CountRunsOf(1), 0U);
  EXPECT_EQ(history.CountRuns(), 2U);
}

}  // namespace
}  // namespace egretrack::standins
