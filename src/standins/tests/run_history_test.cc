#include "standins/run_history.h"

#include <gtest/gtest.h>

namespace egretrack::standins {
namespace {

// Guards against a history that misses two concurrent runs of one task.
TEST(RunHistoryTest, ReportsConcurrentRunsOfOneTask) {
  run_history history;
  history.RecordStart("j.0.0.1", 0, {});
  history.RecordEnd("j.0.0.1", 0, false, {});
  history.RecordStart("j.0.0.1", 1, {});
  EXPECT_TRUE(history.violations().empty());
  history.RecordStart("j.0.0.1", 2, {});
  EXPECT_EQ(history.violations().size(), 1U);
}

// Guards against a history that counts runs for a worker that ran nothing.
TEST(RunHistoryTest, CountsRunsByWorker) {
  run_history history;
  history.RecordStart("j.0.0.1", 0, {});
  history.RecordStart("j.0.0.2", 2, {});
  EXPECT_EQ(history.CountRunsOnWorker(0), 1U);
  EXPECT_EQ(history.CountRunsOnWorker(1), 0U);
  EXPECT_EQ(history.CountRuns(), 2U);
}

}  // namespace
}  // namespace egretrack::standins
