#include "scheduler/job_memory.h"

#include <string>

#include <gtest/gtest.h>

#include "scheduler/tests/scheduler_driver.h"

namespace egretrack::scheduler {
namespace {

job_submission WideJob() {
  job_submission job;
  job.spec = std::string(4000, 's');
  job.steps.resize(1);
  job.steps.front().count = 1200;
  return job;
}

// Replays jobs of 1,200 tasks without end. Guards against a bound that counts
// jobs instead of what they hold.
TEST(JobMemory, AdmitsWideJobsUpToItsBoundOnly) {
  constexpr std::size_t kBound = 30U << 20U;
  job_memory memory(kBound);
  const std::size_t bytes = EstimateJobBytes(WideJob());
  int admitted = 0;
  while (memory.Admits(bytes) && admitted < 4096) {
    memory.Add(bytes);
    ++admitted;
  }
  EXPECT_LE(memory.used(), kBound);
  EXPECT_GT(admitted, 100);
  memory.Remove(bytes);
  EXPECT_TRUE(memory.Admits(bytes));
}

// Guards against a job that no entry takes, however small its memory.
TEST(JobMemory, AdmitsSingleJobOfAnySize) {
  EXPECT_TRUE(job_memory(1).Admits(EstimateJobBytes(WideJob())));
}

// Guards against lists of dependencies that are not counted: 130,000 numbers
// fit into the body of a job.
TEST(JobMemory, CountsDependencies) {
  job_submission job = WideJob();
  const std::size_t before = EstimateJobBytes(job);
  job.steps.front().after.resize(130'000);
  EXPECT_GE(EstimateJobBytes(job), before + 130'000 * sizeof(std::uint32_t));
}

// Guards against a refusal for lack of memory that is not "not run", and
// against memory that is never given back.
TEST(JobMemory, RefusesJobsAboveLimitUntilOthersEnd) {
  scheduler_options options = scheduler_driver::DefaultOptions();
  options.max_job_bytes =
      EstimateJobBytes(scheduler_driver::MakeJob(1, "a", 2)) + 100;
  scheduler_driver driver(options);
  driver.Configure();
  driver.SendHeartbeat(1);
  driver.Handle(scheduler_driver::MakeJob(1, "a", 2));
  const auto dispatched = driver.TakeDispatched();
  ASSERT_EQ(dispatched.size(), 2U);
  driver.Handle(scheduler_driver::MakeJob(2, "b", 2));
  ASSERT_TRUE(driver.AnswerFor(2).has_value());
  EXPECT_EQ(driver.AnswerFor(2)->state, job_state::kRefused);
  EXPECT_EQ(driver.AnswerFor(2)->code, job_errc::kRecordsFull);
  EXPECT_TRUE(driver.TakeDispatched().empty());
  EXPECT_EQ(driver.core->counters().jobs_over_limit, 1U);
  driver.Report(dispatched[0], wire::run_end::kDone);
  driver.Report(dispatched[1], wire::run_end::kDone);
  driver.Handle(scheduler_driver::MakeJob(3, "c", 2));
  EXPECT_EQ(driver.TakeDispatched().size(), 2U);
}

}  // namespace
}  // namespace egretrack::scheduler
