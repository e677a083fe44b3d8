#include "standins/run_history.h"

#include <gtest/gtest.h>

namespace egretrack::standins {
namespace {

std::shared_ptr<const run_history::lease_end> LeaseUntil(seconds end) {
  return std::make_shared<run_history::lease_end>(microseconds(end).count());
}

// Guards against a history that misses two concurrent runs of one task.
TEST(RunHistoryTest, ReportsConcurrentRunsOfOneTask) {
  run_history history;
  history.RecordStart("j.0.0.1", 0, {}, LeaseUntil(seconds(1)));
  history.RecordEnd("j.0.0.1", 0, false, {});
  history.RecordStart("j.0.0.1", 1, {}, LeaseUntil(seconds(1)));
  EXPECT_TRUE(history.violations().empty());
  history.RecordStart("j.0.0.1", 2, {}, LeaseUntil(seconds(1)));
  EXPECT_EQ(history.violations().size(), 1U);
}

// Guards against counting a run as active because its worker's timer thread was
// delayed, and against missing one whose lease is renewed.
TEST(RunHistoryTest, CountsARunAsActiveUntilItsLeaseEnds) {
  run_history history;
  const auto lease = std::make_shared<run_history::lease_end>(
      microseconds(seconds(1)).count());
  const monotonic_time lapsed{seconds(1)};
  history.RecordStart("j.0.0.1", 0, {}, lease);
  history.RecordStart("j.0.0.1", 1, lapsed, LeaseUntil(seconds(2)));
  EXPECT_TRUE(history.violations().empty());
  *lease = microseconds(seconds(3)).count();
  history.RecordStart("j.0.0.1", 2, monotonic_time{seconds(2)},
                      LeaseUntil(seconds(3)));
  EXPECT_EQ(history.violations().size(), 1U);
}

// Guards against a history that counts runs for a worker that ran nothing.
TEST(RunHistoryTest, CountsRunsByWorker) {
  run_history history;
  history.RecordStart("j.0.0.1", 0, {}, LeaseUntil(seconds(1)));
  history.RecordStart("j.0.0.2", 2, {}, LeaseUntil(seconds(1)));
  EXPECT_EQ(history.CountRunsOnWorker(0), 1U);
  EXPECT_EQ(history.CountRunsOnWorker(1), 0U);
  EXPECT_EQ(history.CountRuns(), 2U);
}

}  // namespace
}  // namespace egretrack::standins
