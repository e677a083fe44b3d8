#include "scheduler/refusal_rate.h"

#include <gtest/gtest.h>

#include "scheduler/tests/scheduler_driver.h"

namespace egretrack::scheduler {
namespace {

// Guards against a worker that refuses everything and still attracts tasks, and
// against one that is avoided long after it has recovered.
TEST(RefusalRate, GrowsWithRefusalsAndFadesWithTime) {
  refusal_rate rate;
  monotonic_time now{seconds(100)};
  EXPECT_EQ(rate.ExpectedDelay(now), microseconds(0));
  for (int start = 0; start < 20; ++start) {
    rate.RecordRefusal(now);
    rate.RecordStart(now);
  }
  const microseconds shedding = rate.ExpectedDelay(now);
  EXPECT_GT(shedding, milliseconds(5));
  EXPECT_LT(shedding, milliseconds(50));
  for (int start = 0; start < 40; ++start)
    rate.RecordRefusal(now);
  EXPECT_GT(rate.ExpectedDelay(now), seconds(1));
  EXPECT_LT(rate.ExpectedDelay(now + seconds(4)), milliseconds(5));
}

// Two workers at a crest, of which the second refuses every other start.
class SheddingWorker : public testing::Test {
 protected:
  void SetUp() override {
    driver_.Configure();
    driver_.SendHeartbeat(1);
    driver_.SendHeartbeat(2);
  }

  // Runs a job of one task; a2 refuses its task. Returns the number of
  // dispatches to a2.
  int RunJob() {
    ++caller_;
    // The free resources of a2 attract the task.
    auto loaded = driver_.MakeFrame(1);
    loaded.load.free = {8000, 32768, 0};
    driver_.SendHeartbeat(1, loaded);
    driver_.Handle(scheduler_driver::MakeJob(caller_, std::to_string(caller_)));
    int shed = 0;
    for (auto tasks = driver_.TakeDispatched(); !tasks.empty();
         tasks = driver_.TakeDispatched()) {
      for (const auto& task : tasks) {
        const bool refused = task.agent == "a2";
        shed += refused ? 1 : 0;
        driver_.Report(task,
                       refused ? wire::run_end::kRefused : wire::run_end::kDone,
                       refused ? wire::run_reason::kWorkerRefused
                               : wire::run_reason::kNone);
      }
    }
    driver_.AdvanceTime(milliseconds(20));
    return shed;
  }

  scheduler_driver driver_;
  std::uint64_t caller_ = 0;
};

// Guards against an ejected worker whose free resources stay unused at a crest
// although it starts part of what it is asked to.
TEST_F(SheddingWorker, IsUsedWhenTheOthersAreFull) {
  int shed = 0;
  for (int job = 0; job < 40; ++job)
    shed += RunJob();
  EXPECT_GT(shed, 1);
  EXPECT_EQ(driver_.core->counters().ejections, 0U);
  auto full = driver_.MakeFrame(1);
  full.load.free = {0, 0, 0};
  full.load.queued = 8;
  full.load.wait = milliseconds(900);
  driver_.SendHeartbeat(1, full);
  driver_.AdvanceTime(milliseconds(500));
  driver_.SendHeartbeat(1, full);
  driver_.SendHeartbeat(2);
  driver_.Handle(scheduler_driver::MakeJob(1000, "crest"));
  const auto dispatched = driver_.TakeDispatched();
  ASSERT_EQ(dispatched.size(), 1U);
  EXPECT_EQ(dispatched[0].agent, "a2");
}

// Guards against tasks that lose time at a worker that refuses them while
// another one is free.
TEST_F(SheddingWorker, IsAvoidedWhileAnotherOneIsFree) {
  for (int job = 0; job < 40; ++job)
    RunJob();
  int shed = 0;
  for (int job = 0; job < 40; ++job)
    shed += RunJob();
  EXPECT_LE(shed, 4);
}

// Replays the arrival of an empty worker at a crest. Guards against new workers
// that stand idle while the tasks wait at the old ones.
TEST_F(SheddingWorker, NewWorkerTakesItsShareAtOnce) {
  for (const std::uint32_t agent : {1U, 2U}) {
    auto busy = driver_.MakeFrame(agent);
    busy.load.free = {0, 0, 0};
    busy.load.wait = milliseconds(60);
    driver_.SendHeartbeat(agent, busy);
  }
  driver_.SendHeartbeat(3);
  driver_.Handle(scheduler_driver::MakeJob(1, "j", 6));
  const auto dispatched = driver_.TakeDispatched();
  ASSERT_EQ(dispatched.size(), 6U);
  for (const auto& task : dispatched)
    EXPECT_EQ(task.agent, "a3");
}

}  // namespace
}  // namespace egretrack::scheduler
