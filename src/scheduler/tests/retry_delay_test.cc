#include "scheduler/retry_delay.h"

#include <map>
#include <string>

#include <gtest/gtest.h>

#include "egretrack/scheduler/members.h"
#include "scheduler/tests/scheduler_driver.h"

namespace egretrack::scheduler {
namespace {

std::uint64_t HashOf(int caller) {
  return RendezvousWeight("e1", "job-" + std::to_string(caller));
}

class RetryDelay : public testing::Test {
 protected:
  // Completes `rate` jobs in each of the next seconds.
  void Complete(int rate, int duration_s) {
    for (int job = 0; job < rate * duration_s; ++job) {
      now_ += microseconds(1000000 / rate);
      delay_.RecordCompletion(now_);
    }
  }

  retry_delay delay_;
  monotonic_time now_{seconds(100)};
  int caller_ = 0;
};

// Guards against a delay from a rate that a restarted entry does not know, and
// against an invitation to retry what is refused again.
TEST_F(RetryDelay, FollowsTheReason) {
  EXPECT_EQ(delay_.Decide(job_errc::kOverloaded, 500, 3, now_).delay,
            seconds(1));
  Complete(50, 5);
  EXPECT_GE(delay_.Decide(job_errc::kOverloaded, 200, 0, now_).delay,
            seconds(4));
  for (const job_errc soon : {job_errc::kNotReady, job_errc::kDraining})
    EXPECT_EQ(delay_.Decide(soon, 500, 3, now_).delay, seconds(1));
  for (const job_errc never :
       {job_errc::kDeadlineUnreachable, job_errc::kUnsupported,
        job_errc::kNoTasks, job_errc::kPayloadTooLarge,
        job_errc::kUnknownKind}) {
    EXPECT_EQ(delay_.Decide(never, 500, 3, now_).delay, seconds(0));
  }
}

// Guards against delays outside the bounds of 1 s to 10 s.
TEST_F(RetryDelay, StaysWithinItsBounds) {
  Complete(10, 5);
  for (int backlog = 0; backlog < 4000; backlog += 7) {
    const seconds delay =
        delay_
            .Decide(job_errc::kOverloaded, static_cast<std::size_t>(backlog),
                    HashOf(++caller_), now_)
            .delay;
    EXPECT_GE(delay, kMinRetryDelay);
    EXPECT_LE(delay, kMaxRetryDelay);
  }
}

// Guards against a peak that keeps callers away after it is over.
TEST_F(RetryDelay, ForgetsAPeak) {
  Complete(50, 5);
  for (int refused = 0; refused < 500; ++refused)
    delay_.Decide(job_errc::kOverloaded, 200, HashOf(++caller_), now_);
  EXPECT_GE(delay_.Decide(job_errc::kOverloaded, 200, 0, now_).delay,
            seconds(5));
  Complete(50, 10);
  EXPECT_LE(
      delay_.Decide(job_errc::kOverloaded, 10, HashOf(++caller_), now_).delay,
      seconds(2));
}

// Replays 0.4 s of a peak in which an entry that completes 65 jobs a second
// refuses 160. Guards against callers that return together: with one delay for
// all, the 160 return within 0.4 s.
TEST_F(RetryDelay, SpreadsTheCallersOfABurst) {
  Complete(65, 5);
  std::map<std::int64_t, int> returns;  // By second.
  for (int refused = 0; refused < 160; ++refused) {
    now_ += microseconds(2500);
    if (refused % 6 == 0)
      delay_.RecordCompletion(now_);
    const seconds delay =
        delay_.Decide(job_errc::kOverloaded, 90, HashOf(++caller_), now_).delay;
    ++returns[delay.count()];
  }
  for (const auto& [second, callers] : returns)
    EXPECT_LE(callers, 65) << "after " << second << " s";
}

// Guards against a core that does not use the unit: a refused job gets the
// delay in its answer, in its log record and in the metrics, and a refused
// malformed job gets none.
TEST(RetryDelayOfScheduler, IsAnsweredLoggedAndCounted) {
  scheduler_driver driver;
  driver.Configure();
  driver.SendHeartbeat(1);
  for (std::uint64_t job = 1; job <= 20; ++job) {
    driver.Handle(scheduler_driver::MakeJob(job, std::to_string(job)));
    for (const auto& task : driver.TakeDispatched())
      driver.Report(task, wire::run_end::kDone);
  }
  for (std::uint64_t job = 21; job <= 60; ++job)
    driver.Handle(scheduler_driver::MakeJob(job, std::to_string(job)));
  auto full = driver.MakeFrame(1);
  full.load.free = {0, 0, 0};
  full.load.wait = seconds(3);
  driver.SendHeartbeat(1, full);
  driver.Handle(scheduler_driver::MakeJob(100, "refused"));
  ASSERT_TRUE(driver.AnswerFor(100).has_value());
  EXPECT_EQ(driver.AnswerFor(100)->code, job_errc::kOverloaded);
  // 40 jobs at 10 per second.
  EXPECT_GE(driver.AnswerFor(100)->retry_after, seconds(4));
  auto malformed = scheduler_driver::MakeJob(101, "malformed");
  malformed.steps.clear();
  driver.Handle(malformed);
  EXPECT_EQ(driver.AnswerFor(101)->retry_after, seconds(0));

  std::size_t counted = 0;
  std::size_t logged = 0;
  for (const scheduler_command& command : driver.commands) {
    if (const auto* metrics = std::get_if<refusal_metrics>(&command)) {
      EXPECT_EQ(metrics->kind, "find");
      ++counted;
    }
    const auto* record = std::get_if<decision_record>(&command);
    if (record == nullptr || record->kind != decision_kind::kJobRefused)
      continue;
    for (const event_field& field : record->fields)
      logged += field.key == "drained_per_1000_s" ? 1 : 0;
  }
  EXPECT_EQ(counted, 2U);
  EXPECT_EQ(logged, 2U);
}

// Guards against a job that was accepted and then refused without a delay, and
// against a delay other than 1 s while the entry knows no drain rate.
TEST(RetryDelayOfScheduler, IsAnsweredForAnUndispatchedJob) {
  scheduler_driver driver;
  driver.Configure();
  driver.Handle(scheduler_driver::MakeJob(1, "j"));
  driver.AdvanceTime(milliseconds(100));
  ASSERT_TRUE(driver.AnswerFor(1).has_value());
  EXPECT_EQ(driver.AnswerFor(1)->code, job_errc::kNoEndpoint);
  EXPECT_EQ(driver.AnswerFor(1)->retry_after, seconds(1));
}

}  // namespace
}  // namespace egretrack::scheduler
