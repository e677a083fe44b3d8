#include "scheduler/job_admission.h"

#include <algorithm>
#include <string>

#include <gtest/gtest.h>

#include "scheduler/tests/scheduler_driver.h"

namespace egretrack::scheduler {
namespace {

constexpr milliseconds kCallerDeadline{1500};

admission_step MakeStep(std::uint32_t tasks, std::vector<step_place> places) {
  return {tasks, {}, std::move(places)};
}

microseconds PredictWhole(std::uint32_t tasks, std::vector<step_place> places) {
  const std::vector<admission_step> steps{MakeStep(tasks, std::move(places))};
  return PredictEnd(steps).whole;
}

// Guards against an end that ignores how many tasks wait for how many slots.
// Half of each predicted run time counts.
TEST(JobAdmission, PredictsTheEndOfTheLastTask) {
  const step_place idle{{}, milliseconds(100), 4, 4};
  EXPECT_EQ(PredictWhole(4, {idle}), milliseconds(50));
  EXPECT_EQ(PredictWhole(5, {idle}), milliseconds(100));
  EXPECT_EQ(PredictWhole(8, {idle, idle}), milliseconds(50));
  const step_place full{milliseconds(200), milliseconds(100), 0, 4};
  EXPECT_EQ(PredictWhole(1, {full}), milliseconds(250));
  EXPECT_EQ(PredictWhole(5, {full}), milliseconds(300));
  EXPECT_EQ(PredictWhole(5, {full, idle}), milliseconds(100));
}

// Guards against counting the free slots of a worker that refuses starts as
// places for which nothing waits.
TEST(JobAdmission, WaitsForAWorkerThatRefusesStarts) {
  const step_place refusing{milliseconds(300), milliseconds(100), 4, 4};
  EXPECT_EQ(PredictWhole(4, {refusing}), milliseconds(350));
}

// Guards against a job of consecutive steps judged as if they ran side by side.
TEST(JobAdmission, AddsConsecutiveSteps) {
  const std::vector<std::uint32_t> first{0};
  const step_place idle{{}, milliseconds(900), 4, 4};
  const std::vector<admission_step> chain{{4, {}, {idle}}, {4, first, {idle}}};
  EXPECT_EQ(PredictEnd(chain).whole, milliseconds(900));
  EXPECT_EQ(PredictEnd(chain).alone, milliseconds(900));
}

// Guards against a refusal of a job that the estimate alone makes look late:
// estimates are off by 40 %.
TEST(JobAdmission, AcceptsWhatMayEndInTime) {
  job_admission admission;
  const std::vector<admission_step> steps{
      MakeStep(4, {{milliseconds(900), milliseconds(900), 0, 9},
                   {milliseconds(900), milliseconds(900), 0, 9}})};
  EXPECT_EQ(admission.Judge("long", 4, PredictEnd(steps), kCallerDeadline,
                            monotonic_time{seconds(100)}),
            admission_verdict::kAccepted);
}

// Replays a kind whose widest jobs do not fit at a peak, while a share of the
// others is refused as well. Guards against wide jobs that are refused more
// than twice as often as the kind, and against an admission that never refuses
// them.
TEST(JobAdmission, RefusesWideJobsAtMostTwiceAsOften) {
  job_admission admission;
  monotonic_time now{seconds(100)};
  int refused = 0;
  int refused_wide = 0;
  int wide = 0;
  constexpr int kJobs = 4000;
  for (int job = 0; job < kJobs; ++job) {
    now += milliseconds(5);
    const bool is_wide = job % 10 == 3;
    // One in five finds no place in time whatever its width.
    const bool is_crowded = job % 5 == 0;
    const std::vector<admission_step> steps{MakeStep(
        is_wide ? 200 : 8,
        {{milliseconds(is_crowded ? 1600 : 1200), milliseconds(60), 0, 9}})};
    const std::uint32_t tasks = is_wide ? 200 : 8;
    const bool is_refused =
        admission.Judge("wide", tasks, PredictEnd(steps), kCallerDeadline,
                        now) != admission_verdict::kAccepted;
    refused += is_refused ? 1 : 0;
    wide += is_wide ? 1 : 0;
    refused_wide += is_wide && is_refused ? 1 : 0;
  }
  const double share = static_cast<double>(refused) / kJobs;
  const double wide_share = static_cast<double>(refused_wide) / wide;
  EXPECT_GT(wide_share, share);
  EXPECT_LE(wide_share, 2.05 * share);
}

// A peak: two workers of 10 slots have no free place for a second.
class AdmissionAtPeak : public testing::Test {
 protected:
  void SetUp() override {
    driver_.Configure();
    for (const std::uint32_t agent : {1U, 2U}) {
      auto full = driver_.MakeFrame(agent);
      full.load.free = {0, 0, 0};
      full.load.wait = seconds(1);
      driver_.SendHeartbeat(agent, full);
    }
  }

  scheduler_driver driver_;
};

// Guards against a job that is accepted because its first task finds a place
// by the deadline, although its last does not, and whose tasks then take the
// places of others.
TEST_F(AdmissionAtPeak, RefusesAJobWhoseLastTaskIsTooLate) {
  // 400 tasks of at least 50 ms on 20 slots end 2 s from now.
  driver_.Handle(scheduler_driver::MakeJob(1, "wide", 400));
  ASSERT_TRUE(driver_.AnswerFor(1).has_value());
  EXPECT_EQ(driver_.AnswerFor(1)->state, job_state::kRefused);
  EXPECT_EQ(driver_.AnswerFor(1)->code, job_errc::kOverloaded);
  EXPECT_GE(driver_.AnswerFor(1)->retry_after, seconds(1));
  EXPECT_TRUE(driver_.TakeDispatched().empty());
}

// Guards against refusals of jobs that end in time at such a peak.
TEST_F(AdmissionAtPeak, AcceptsAJobWhoseLastTaskIsInTime) {
  driver_.Handle(scheduler_driver::MakeJob(1, "common", 8));
  EXPECT_TRUE(driver_.AnswersFor(1).empty());
  driver_.Handle(scheduler_driver::MakeJob(2, "wide", 100));
  EXPECT_TRUE(driver_.AnswersFor(2).empty());
}

// Guards against a Retry-After for a chain of steps that is longer than the
// deadline on free workers too.
TEST_F(AdmissionAtPeak, NamesNoRetryForAChainThatIsTooLong) {
  auto job = scheduler_driver::MakeJob(1, "chain");
  job.steps.front().estimate = milliseconds(900);
  for (std::uint32_t step = 0; step < 3; ++step) {
    job.steps.push_back(job.steps.front());
    job.steps.back().after = {step};
  }
  driver_.Handle(job);
  ASSERT_TRUE(driver_.AnswerFor(1).has_value());
  EXPECT_EQ(driver_.AnswerFor(1)->code, job_errc::kDeadlineUnreachable);
  EXPECT_EQ(driver_.AnswerFor(1)->retry_after, seconds(0));
}

// Guards against accepting a wide job that cannot end in time by far, because
// few jobs of its kind are refused.
TEST(JobAdmission, RefusesAHopelessWideJob) {
  job_admission admission;
  const step_place idle{{}, milliseconds(100), 8, 8};
  const auto judge = [&](std::uint32_t tasks) {
    const std::vector<admission_step> steps{MakeStep(tasks, {idle})};
    return admission.Judge("kind", tasks, PredictEnd(steps), kCallerDeadline,
                           monotonic_time{});
  };
  for (int job = 0; job < 10; ++job)
    EXPECT_EQ(judge(8), admission_verdict::kAccepted);
  EXPECT_EQ(judge(400), admission_verdict::kOverloaded);
}

// Guards against ignoring how many tasks a later step has while all slots are
// busy: they cannot have turned over before the step starts.
TEST(JobAdmission, CountsTheWidthOfALaterStep) {
  const std::vector<std::uint32_t> first{0};
  const step_place long_run{{}, milliseconds(2000), 1, 1};
  const step_place busy{milliseconds(0), milliseconds(100), 0, 4};
  const std::vector<admission_step> chain{{1, {}, {long_run}},
                                          {80, first, {busy}}};
  EXPECT_GE(PredictEnd(chain).whole, milliseconds(1900));
}

}  // namespace
}  // namespace egretrack::scheduler
