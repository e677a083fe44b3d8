#include "standins/ideal_schedule.h"

#include <gtest/gtest.h>

namespace egretrack::standins {
namespace {

arrival Job(int at_ms, int deadline_ms, std::vector<milliseconds> run_times) {
  arrival job;
  job.at = milliseconds(at_ms);
  job.deadline = milliseconds(deadline_ms);
  job.run_times = std::move(run_times);
  return job;
}

// Guards against a reference schedule that a real dispatcher could outperform.
TEST(IdealScheduleTest, UsesFastestSlotAndEarliestDeadline) {
  const std::vector<double> speeds = {1, 2};
  const std::vector<arrival> jobs = {
      Job(0, 5000, {milliseconds(200)}),
      Job(0, 5000, {milliseconds(300)}),
      Job(10, 5000, {milliseconds(100)}),
      Job(20, 400, {milliseconds(100)}),
  };
  const auto end_times = IdealEndTimes(jobs, speeds);
  EXPECT_EQ(end_times[0], milliseconds(100));
  EXPECT_EQ(end_times[1], milliseconds(300));
  // The last job has the earliest deadline, so it takes the free slot first.
  EXPECT_EQ(end_times[3], milliseconds(150));
  EXPECT_EQ(end_times[2], milliseconds(200));
}

// Guards against a reference schedule that assigns slots to tasks that will
// miss their deadline.
TEST(IdealScheduleTest, SkipsTasksThatMissDeadline) {
  const std::vector<double> speeds = {1};
  const std::vector<arrival> jobs = {
      Job(0, 100, {milliseconds(500)}),
      Job(0, 200, {milliseconds(150)}),
  };
  const auto end_times = IdealEndTimes(jobs, speeds);
  EXPECT_FALSE(end_times[0].has_value());
  EXPECT_EQ(end_times[1], milliseconds(150));
}

// Guards against different workloads in two runs that are compared.
TEST(WorkloadTest, SameSeedGivesSameArrivals) {
  const workload_options options{.duration = seconds(2), .seed = 7};
  const auto first = MakeWorkload("mixed", options);
  const auto second = MakeWorkload("mixed", options);
  ASSERT_TRUE(first.has_value());
  ASSERT_EQ(first->size(), second->size());
  for (std::size_t i = 0; i < first->size(); ++i) {
    EXPECT_EQ((*first)[i].at, (*second)[i].at);
    EXPECT_EQ((*first)[i].run_times, (*second)[i].run_times);
  }
}

// Returns the run time of the jobs that arrive from `begin` to `end` as a
// fraction of the capacity of 100 slots.
double OfferedLoad(const std::vector<arrival>& arrivals,
                   seconds begin,
                   seconds end) {
  double work_ms = 0;
  for (const auto& job : arrivals) {
    if (job.at < begin || job.at >= end)
      continue;
    for (const auto run_time : job.run_times)
      work_ms += static_cast<double>(run_time.count());
  }
  return work_ms / 1000 / static_cast<double>((end - begin).count()) / 100;
}

// Guards against an offered load that differs from the requested load.
TEST(WorkloadTest, OffersRequestedLoad) {
  for (const char* name : {"steady", "stragglers", "mixed", "failing-worker",
                           "wrong-declarations", "cancellations"}) {
    const workload_options options{
        .load = 0.8, .capacity = 100, .duration = seconds(4000), .seed = 3};
    const auto arrivals = MakeWorkload(name, options);
    ASSERT_TRUE(arrivals.has_value());
    EXPECT_NEAR(OfferedLoad(*arrivals, seconds(0), seconds(4000)), 0.8, 0.08)
        << name;
  }
}

// Guards against a load peak of the wrong height or length.
TEST(WorkloadTest, PeakIsFourTimesRequestedLoad) {
  const workload_options options{
      .load = 0.4, .capacity = 1000, .duration = seconds(20), .seed = 3};
  const auto arrivals = MakeWorkload("crest", options);
  ASSERT_TRUE(arrivals.has_value());
  EXPECT_NEAR(OfferedLoad(*arrivals, seconds(0), seconds(5)), 4.0, 0.4);
  EXPECT_NEAR(OfferedLoad(*arrivals, seconds(5), seconds(15)), 16.0, 1.6);
  EXPECT_NEAR(OfferedLoad(*arrivals, seconds(15), seconds(20)), 4.0, 0.4);
}

}  // namespace
}  // namespace egretrack::standins
