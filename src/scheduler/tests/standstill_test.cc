// What entries and agents do after they stood still for a time in which callers
// left and sent their jobs to other entries.
#include <gtest/gtest.h>

#include "scheduler/tests/scheduler_driver.h"
#include "scheduler/tests/supervisor_driver.h"

namespace egretrack::scheduler {
namespace {

// Longer than the time after which callers send their jobs again.
constexpr milliseconds kStandstill{1500};

class EntryStandstill : public testing::Test {
 protected:
  void SetUp() override {
    driver_.Configure();
    driver_.SendHeartbeat(1);
    driver_.SendHeartbeat(2);
  }

  void Submit(std::uint64_t caller, std::uint32_t tasks = 1) {
    auto job = scheduler_driver::MakeJob(caller, "j", tasks);
    job.deadline = seconds(8);
    driver_.Handle(job);
  }

  // The caller's connection is reset meanwhile. Its end is read only after the
  // timers of the entry were due.
  void StandStill() {
    driver_.callers_stay = false;
    driver_.AdvanceTime(kStandstill);
  }

  scheduler_driver driver_;
};

// Guards against a task that an entry takes for lost as it resumes and starts
// again for a caller that has left (review, case 7).
TEST_F(EntryStandstill, RedispatchesNoTaskOfACallerThatLeft) {
  Submit(1);
  ASSERT_EQ(driver_.TakeDispatched().size(), 1U);
  StandStill();
  // An agent without runs of this entry counts as alive for longer.
  driver_.SendHeartbeat(2);
  EXPECT_EQ(driver_.core->counters().tasks_lost, 1U);
  EXPECT_TRUE(driver_.TakeDispatched().empty());
  driver_.Handle(caller_disconnected{caller_token{1}});
  driver_.AdvanceTime(milliseconds(100));
  EXPECT_TRUE(driver_.TakeDispatched().empty());
  EXPECT_EQ(driver_.core->counters().jobs_cancelled, 1U);
}

// Guards against a caller that stayed and whose job is given up or delayed.
TEST_F(EntryStandstill, RedispatchesAtOnceWhenTheCallerIsSeen) {
  Submit(1);
  ASSERT_EQ(driver_.TakeDispatched().size(), 1U);
  StandStill();
  driver_.SendHeartbeat(2);
  ASSERT_EQ(driver_.TakeCallerChecks(),
            std::vector<caller_token>{caller_token{1}});
  driver_.Handle(caller_seen{caller_token{1}, driver_.now});
  EXPECT_EQ(driver_.TakeDispatched().size(), 1U);
}

// Guards against a check for each task or timer of a job.
TEST_F(EntryStandstill, LooksForACallerOnce) {
  Submit(1, 3);
  StandStill();
  driver_.AdvanceTime(milliseconds(20));
  driver_.AdvanceTime(milliseconds(20));
  EXPECT_EQ(driver_.core->counters().caller_checks, 1U);
}

// Guards against a job that was read before the standstill and is accepted
// after it.
TEST_F(EntryStandstill, DispatchesNoJobThatWaitedUnread) {
  driver_.callers_stay = false;
  auto job = scheduler_driver::MakeJob(1, "j");
  job.deadline = seconds(8);
  job.caller_seen_at = driver_.now;
  job.sent_after = driver_.now;
  driver_.now += kStandstill;
  driver_.core->Handle(job, driver_.now, driver_.commands);
  driver_.Advance();
  EXPECT_TRUE(driver_.TakeDispatched().empty());
  EXPECT_EQ(driver_.TakeCallerChecks().size(), 1U);
}

// Guards against a step that starts after a standstill because its dependency
// has ended meanwhile.
TEST_F(EntryStandstill, StartsNoLaterStep) {
  auto job = scheduler_driver::MakeJob(1, "j");
  job.deadline = seconds(8);
  job.steps.push_back(job.steps[0]);
  job.steps[1].after = {0};
  driver_.Handle(job);
  const auto first = driver_.TakeDispatched();
  ASSERT_EQ(first.size(), 1U);
  driver_.callers_stay = false;
  driver_.now += kStandstill;
  driver_.Report(first[0], wire::run_end::kDone);
  EXPECT_TRUE(driver_.TakeDispatched().empty());
}

// Guards against a task that failed or was returned during a standstill and is
// tried again after it.
TEST_F(EntryStandstill, RetriesNoFailedOrReturnedTask) {
  Submit(1, 2);
  const auto dispatched = driver_.TakeDispatched();
  ASSERT_EQ(dispatched.size(), 2U);
  driver_.callers_stay = false;
  driver_.now += kStandstill;
  driver_.Report(dispatched[0], wire::run_end::kFailed);
  driver_.Report(dispatched[1], wire::run_end::kRefused,
                 wire::run_reason::kNoRoom);
  EXPECT_TRUE(driver_.TakeDispatched().empty());
}

// Guards against news of an earlier caller that counts for a later one, whose
// request was read before the standstill.
TEST_F(EntryStandstill, IgnoresNewsOfAnEarlierCaller) {
  Submit(1);
  ASSERT_EQ(driver_.TakeDispatched().size(), 1U);
  Submit(2);
  StandStill();
  driver_.SendHeartbeat(2);
  driver_.Handle(caller_seen{caller_token{1}, driver_.now});
  EXPECT_TRUE(driver_.TakeDispatched().empty());
}

class AgentStandstill : public testing::Test {
 protected:
  void SetUp() override { driver_.ConnectIdleWorker(); }

  std::size_t CountStarts() const {
    return driver_.Commands<start_run>().size();
  }

  supervisor_driver driver_;
};

// Guards against a dispatch that an entry queued as it was stopped and that
// leaves when it is resumed.
TEST_F(AgentStandstill, StartsNoDispatchThatWasMadeLongAgo) {
  auto frame = driver_.MakeFrame(0);
  wire::run_dispatch dispatch = driver_.MakeDispatch(0);
  dispatch.start_by = driver_.EntryNow() + seconds(8);
  frame.messages.emplace_back(dispatch);
  driver_.AdvanceWithAnswers(milliseconds(500), {});
  driver_.now += kStandstill;
  driver_.Handle(entry_frame{0, frame});
  driver_.AnswerPoll({});
  driver_.AdvanceWithAnswers(milliseconds(100), {});
  EXPECT_EQ(CountStarts(), 0U);
}

// Guards against an agent that stood still and starts a queued task before it
// has read the cancellation that waits behind it.
TEST_F(AgentStandstill, StartsNoQueuedRun) {
  for (std::uint32_t task = 0; task < 12; ++task)
    driver_.Dispatch(task);
  const std::size_t started = CountStarts();
  ASSERT_LT(started, 12U);
  driver_.now += kStandstill;
  driver_.AnswerStart(supervisor_driver::RunId(0));
  driver_.AnswerPoll({},
                     {{1, supervisor_driver::RunId(0), wire::run_end::kDone}});
  driver_.AdvanceWithAnswers(milliseconds(100), {});
  EXPECT_EQ(CountStarts(), started);
}

// Guards against a start that is repeated after a standstill.
TEST_F(AgentStandstill, RepeatsNoUnansweredStart) {
  driver_.Dispatch(0);
  driver_.AnswerPoll({});
  ASSERT_EQ(CountStarts(), 1U);
  driver_.now += kStandstill;
  driver_.AnswerStart(supervisor_driver::RunId(0),
                      worker_call_result::kUnanswered);
  EXPECT_EQ(CountStarts(), 1U);
}

}  // namespace
}  // namespace egretrack::scheduler
