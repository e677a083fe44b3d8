#include "egretrack/scheduler/run_supervisor.h"

#include <gtest/gtest.h>

#include "scheduler/tests/supervisor_driver.h"

namespace egretrack::scheduler {
namespace {

using wire::run_end;
using wire::run_reason;

class RunSupervisor : public testing::Test {
 protected:
  void SetUp() override { driver_.StartWorker(); }

  // A run that the worker has confirmed.
  void Run(std::uint32_t task) {
    driver_.Dispatch(task);
    driver_.Started(supervisor_driver::Name(task));
  }

  // Lets time pass in which the worker answers no look.
  void PassSilent(microseconds time) {
    constexpr milliseconds kStep{25};
    for (microseconds passed{0}; passed < time; passed += kStep) {
      driver_.Pass(kStep);
      driver_.ReplyToBeats();
      if (driver_.All<poll_worker>().size() > driver_.answered_looks)
        driver_.LookFails();
    }
  }

  supervisor_driver driver_;
};

// Guards against a run that ends without a report, and against ends that the
// worker keeps listing because nobody takes note of them.
TEST_F(RunSupervisor, ReportsAndAcknowledgesAnEnd) {
  Run(0);
  driver_.AnswerLook({}, {{5, supervisor_driver::Name(0), run_end::kDone}});
  ASSERT_EQ(driver_.Reports().size(), 1U);
  EXPECT_EQ(driver_.Reports()[0].end, run_end::kDone);
  EXPECT_EQ(driver_.All<poll_worker>().back().last_end_seen, 5U);
}

// Guards against a start without a lease, which would outlive this process.
TEST_F(RunSupervisor, StartsUnderALease) {
  driver_.Dispatch(0);
  const auto starts = driver_.All<start_run>();
  ASSERT_EQ(starts.size(), 1U);
  EXPECT_GT(starts[0].lease_until, driver_.WorkerNow());
  EXPECT_LE(starts[0].lease_until, driver_.WorkerNow() + milliseconds(700));
  EXPECT_EQ(starts[0].target.fence, 10U);
}

// Guards against more runs than the worker has room for.
TEST_F(RunSupervisor, QueuesWhatDoesNotFit) {
  for (std::uint32_t task = 0; task < 12; ++task) {
    driver_.Dispatch(task);
    driver_.Started(supervisor_driver::Name(task));
  }
  EXPECT_EQ(driver_.All<start_run>().size(), 10U);
  driver_.AnswerLook({}, {{1, supervisor_driver::Name(3), run_end::kDone}});
  EXPECT_EQ(driver_.All<start_run>().size(), 11U);
}

// Guards against tasks that stay in a full queue while another worker is free.
TEST_F(RunSupervisor, GivesBackWhatWaitsTooLong) {
  for (std::uint32_t task = 0; task < 11; ++task) {
    driver_.Dispatch(task);
    driver_.Started(supervisor_driver::Name(task));
  }
  std::vector<running_row> running;
  for (std::uint32_t task = 0; task < 10; ++task)
    running.push_back({supervisor_driver::Name(task), 50});
  driver_.PassAlive(milliseconds(450), running);
  ASSERT_FALSE(driver_.Reports().empty());
  EXPECT_EQ(driver_.Reports()[0].task, 10U);
  EXPECT_EQ(driver_.Reports()[0].reason, run_reason::kQueuedTooLong);
}

// Guards against a task that is taken as not started although an order without
// an answer may still be carried out: another order's refusal says nothing
// about it (seen on turni-gas trouble-1 and taktwerk-sched scale-2 as two runs
// of one task).
TEST_F(RunSupervisor, StopsWhatMayStartLateBeforeItIsGivenBack) {
  driver_.Dispatch(0);
  driver_.Started(supervisor_driver::Name(0), worker_call_result::kUnanswered);
  ASSERT_EQ(driver_.All<start_run>().size(), 2U);
  driver_.Started(supervisor_driver::Name(0), worker_call_result::kNoResources);
  EXPECT_TRUE(driver_.Reports().empty());
  ASSERT_EQ(driver_.All<stop_run>().size(), 1U);
  driver_.Handle(
      stop_answered{supervisor_driver::Name(0), worker_call_result::kAccepted});
  EXPECT_TRUE(driver_.Reports().empty());
  driver_.PassAlive(milliseconds(150), {});
  ASSERT_EQ(driver_.Reports().size(), 1U);
  EXPECT_EQ(driver_.Reports()[0].end, run_end::kRefused);
  EXPECT_EQ(driver_.Reports()[0].reason, run_reason::kUnanswered);
}

// Guards against a run that is taken as gone because a look that was sent
// before its start was confirmed does not list it (seen on turni-gas scale-2
// as two runs of one task: the first order had got no answer).
TEST_F(RunSupervisor, BelievesNoLookFromBeforeTheConfirmation) {
  Run(1);
  driver_.Dispatch(0);
  driver_.Pass(milliseconds(150));
  driver_.AnswerLook({{supervisor_driver::Name(1), 10}});
  driver_.Pass(milliseconds(50));
  driver_.Started(supervisor_driver::Name(0), worker_call_result::kUnanswered);
  driver_.Started(supervisor_driver::Name(0));
  driver_.AnswerLook({{supervisor_driver::Name(1), 40}});
  EXPECT_TRUE(driver_.Reports().empty());
  EXPECT_EQ(driver_.core->gauges().running, 2U);
}

// Guards against a stop that is repeated without a pause, and against one that
// is forgotten after it got no answer.
TEST_F(RunSupervisor, RepeatsAStopWithPauses) {
  Run(0);
  auto frame = driver_.Frame(0);
  frame.messages.emplace_back(wire::run_cancel{1, {}});
  driver_.Handle(entry_frame{0, frame});
  ASSERT_EQ(driver_.All<stop_run>().size(), 1U);
  driver_.Handle(
      stop_answered{supervisor_driver::Name(0), worker_call_result::kRejected});
  EXPECT_EQ(driver_.All<stop_run>().size(), 1U);
  driver_.Pass(milliseconds(60));
  EXPECT_EQ(driver_.All<stop_run>().size(), 2U);
}

// Guards against runs that go on for an entry that is gone or cut off, whose
// callers send their jobs to another one after 1.3 s.
TEST_F(RunSupervisor, StopsTheRunsOfASilentEntry) {
  Run(0);
  const auto before = driver_.now;
  std::uint32_t percent = 0;
  while (driver_.All<stop_run>().empty() && driver_.now - before < seconds(2)) {
    driver_.Pass(milliseconds(25));
    driver_.ReplyToBeats({1});
    driver_.AnswerLook({{supervisor_driver::Name(0), ++percent}});
  }
  EXPECT_EQ(driver_.core->counters().stalls, 0U);
  EXPECT_FALSE(driver_.All<stop_run>().empty());
  EXPECT_LE(driver_.now - before, milliseconds(700));
  EXPECT_EQ(driver_.LastSettled(0), false);
  driver_.Handle(
      stop_answered{supervisor_driver::Name(0), worker_call_result::kAccepted});
  driver_.AnswerLook({}, {{1, supervisor_driver::Name(0), run_end::kLost}});
  driver_.PassAlive(milliseconds(300), {});
  EXPECT_EQ(driver_.LastSettled(0), true);
  EXPECT_TRUE(driver_.Reports().empty());
}

// Guards against a lease that is extended after a suspension, when the entry
// may have given the tasks to others.
TEST_F(RunSupervisor, ExtendsNothingAfterASuspension) {
  Run(0);
  driver_.AnswerLook({{supervisor_driver::Name(0), 10}});
  const auto starts = driver_.All<start_run>().size();
  const auto looks = driver_.All<poll_worker>().size();
  driver_.Pass(seconds(3));
  driver_.AnswerLook({});
  EXPECT_EQ(driver_.All<start_run>().size(), starts);
  EXPECT_EQ(driver_.core->gauges().running, 0U);
  const auto after = driver_.All<poll_worker>();
  for (std::size_t at = looks; at < after.size(); ++at)
    EXPECT_EQ(after[at].lease_until.count(), 0);
}

// Guards against an order that is sent again right after a suspension, before
// its lease and the entry's silence are judged.
TEST_F(RunSupervisor, RepeatsNoOrderAfterASuspension) {
  driver_.Dispatch(0);
  ASSERT_EQ(driver_.All<start_run>().size(), 1U);
  driver_.now += seconds(3);
  driver_.Started(supervisor_driver::Name(0), worker_call_result::kUnanswered);
  EXPECT_EQ(driver_.All<start_run>().size(), 1U);
  EXPECT_EQ(driver_.core->gauges().running, 0U);
}

// Guards against a lease that is renewed for a worker that does not answer:
// then nobody could tell when its runs have ended.
TEST_F(RunSupervisor, LetsTheLeaseOfASilentWorkerLapse) {
  Run(0);
  const auto before = driver_.now;
  while (driver_.Reports().empty() && driver_.now - before < seconds(5)) {
    driver_.Pass(milliseconds(50));
    driver_.ReplyToBeats();
    if (driver_.All<poll_worker>().size() > driver_.answered_looks)
      driver_.LookFails();
  }
  ASSERT_EQ(driver_.Reports().size(), 1U);
  EXPECT_EQ(driver_.Reports()[0].end, run_end::kLost);
  EXPECT_EQ(driver_.Reports()[0].reason, run_reason::kLeaseLapsed);
  EXPECT_LE(driver_.now - before, milliseconds(1000));
}

// Guards against a worker that is never asked again once its runs were lost: it
// kept its place among the workers and started nothing until it restarted.
TEST_F(RunSupervisor, StartsAgainOnAWorkerThatWasSilent) {
  Run(0);
  PassSilent(seconds(2));
  ASSERT_EQ(driver_.core->gauges().running, 0U);
  driver_.PassAlive(milliseconds(200), {});
  driver_.Dispatch(1);
  ASSERT_FALSE(driver_.All<start_run>().empty());
  EXPECT_EQ(driver_.All<start_run>().back().id, supervisor_driver::Name(1));
}

// Guards against a look without an answer that hides ends, and so free room,
// for longer than the 60 ms that a short task has to spare. A look is given up
// 20 ms after the time that it may wait.
TEST_F(RunSupervisor, LosesLittleTimeByALostLook) {
  Run(0);
  driver_.AnswerLook({{supervisor_driver::Name(0), 10}});
  EXPECT_LE(driver_.All<poll_worker>().back().wait, milliseconds(40));
}

// Guards against a worker that is given up because this process, or the worker,
// got no processor time for a tenth of a second.
TEST_F(RunSupervisor, KeepsAWorkerThatMissesLooksForAMoment) {
  Run(0);
  for (int look = 0; look < 6; ++look) {
    driver_.LookFails();
    driver_.Pass(milliseconds(25));
  }
  driver_.AnswerLook({{supervisor_driver::Name(0), 40}});
  driver_.Dispatch(1);
  EXPECT_EQ(driver_.All<start_run>().size(), 2U);
  EXPECT_EQ(driver_.LastBeatNamesWorker(0), true);
}

// Guards against a silent worker that attracts tasks, since nothing runs there:
// each of them waited for its whole queue bound in vain.
TEST_F(RunSupervisor, RefusesWorkWhileItsWorkerIsSilent) {
  for (std::uint32_t task = 0; task < 11; ++task) {
    driver_.Dispatch(task);
    driver_.Started(supervisor_driver::Name(task));
  }
  PassSilent(milliseconds(350));
  ASSERT_EQ(driver_.Reports().size(), 1U);
  EXPECT_EQ(driver_.Reports()[0].end, run_end::kRefused);
  EXPECT_EQ(driver_.Reports()[0].reason, run_reason::kNoWorker);
  EXPECT_EQ(driver_.LastBeatNamesWorker(0), false);

  const std::size_t starts = driver_.All<start_run>().size();
  driver_.Dispatch(20);
  ASSERT_EQ(driver_.Reports().size(), 2U);
  EXPECT_EQ(driver_.Reports()[1].reason, run_reason::kNoWorker);
  EXPECT_EQ(driver_.All<start_run>().size(), starts);

  driver_.PassAlive(milliseconds(100), {});
  EXPECT_EQ(driver_.LastBeatNamesWorker(0), true);
}

// Guards against tasks that wait at an agent for a worker that is gone.
TEST_F(RunSupervisor, GivesBackWhatWaitsWhenItsWorkerIsGone) {
  for (std::uint32_t task = 0; task < 11; ++task) {
    driver_.Dispatch(task);
    driver_.Started(supervisor_driver::Name(task));
  }
  driver_.Handle(worker_deregistered{"w"});
  const auto reports = driver_.Reports();
  ASSERT_EQ(reports.size(), 11U);
  EXPECT_EQ(reports[10].end, run_end::kRefused);
  EXPECT_EQ(reports[10].reason, run_reason::kNoWorker);
}

// Guards against a queue that is predicted to take no time because nothing
// runs yet whose end could be predicted.
TEST_F(RunSupervisor, PredictsAWaitBehindAQueueAlone) {
  driver_.Handle(supervisor_driver::Worker(2000, 1));  // Not looked at yet.
  for (std::uint32_t task = 0; task < 30; ++task)
    driver_.Dispatch(task, milliseconds(100));
  driver_.Pass(milliseconds(300));
  EXPECT_GE(driver_.All<send_to_entry>().back().frame.load.wait,
            milliseconds(100));
}

// Guards against runs of an earlier incarnation that go on unseen, and against
// an entry that is told too early that they have ended.
TEST(RunSupervisorStart, StopsWhatItDidNotStart) {
  supervisor_driver driver;
  driver.Handle(supervisor_driver::Worker());
  EXPECT_EQ(driver.LastSettled(0), false);
  const run_id old{"old", 0, 3, 2};
  driver.AnswerLook({{old, 20}});
  ASSERT_EQ(driver.All<stop_run>().size(), 1U);
  EXPECT_EQ(driver.All<stop_run>()[0].id, old);
  driver.PassAlive(milliseconds(300), {{old, 20}});
  EXPECT_EQ(driver.LastSettled(0), false);
  driver.AnswerLook({}, {{1, old, run_end::kLost}});
  driver.PassAlive(milliseconds(300), {});
  EXPECT_EQ(driver.LastSettled(0), true);
}

// Guards against an agent that waits for its worker's next report after a
// restart, up to 1.5 s, although it knew the worker before.
TEST(RunSupervisorStart, RecallsItsWorker) {
  supervisor_driver first;
  first.Handle(supervisor_driver::Worker());
  const auto kept = first.All<store_worker>();
  ASSERT_EQ(kept.size(), 1U);
  supervisor_driver second;
  second.Handle(worker_restored{kept[0].report});
  second.AnswerLook({});
  second.ReplyToBeats();
  second.Dispatch(0);
  EXPECT_EQ(second.All<start_run>().size(), 1U);
  EXPECT_TRUE(second.All<store_worker>().empty());
}

// Guards against a recalled worker that has been replaced meanwhile.
TEST(RunSupervisorStart, ForgetsARecalledWorkerThatIsAnother) {
  supervisor_driver driver;
  driver.Handle(worker_restored{supervisor_driver::Worker()});
  driver.AnswerLook({}, {}, 2000);
  EXPECT_FALSE(driver.core->gauges().has_worker);
  driver.Handle(supervisor_driver::Worker(2000));
  EXPECT_TRUE(driver.core->gauges().has_worker);
}

// Guards against a fencing token that an earlier incarnation outbid, because
// the clock was set back.
TEST_F(RunSupervisor, RaisesARefusedFence) {
  driver_.Dispatch(0);
  driver_.Started(supervisor_driver::Name(0), worker_call_result::kFenced);
  const auto starts = driver_.All<start_run>();
  ASSERT_EQ(starts.size(), 2U);
  EXPECT_GT(starts[1].target.fence, starts[0].target.fence);
}

// Guards against a job that is sent again and whose first run is still being
// stopped here.
TEST_F(RunSupervisor, KeepsTwoRunsOfOneTaskApart) {
  Run(0);
  driver_.Dispatch(0, milliseconds(100), 1);
  EXPECT_EQ(driver_.All<start_run>().size(), 1U);
  auto frame = driver_.Frame(0);
  frame.messages.emplace_back(wire::run_cancel{1, {}});
  driver_.Handle(entry_frame{0, frame});
  EXPECT_EQ(driver_.All<start_run>().size(), 1U);
  driver_.AnswerLook({}, {{1, supervisor_driver::Name(0), run_end::kLost}});
  EXPECT_EQ(driver_.All<start_run>().size(), 2U);
}

// Guards against a task whose number the worker has seen before, so that every
// start of it is refused.
TEST_F(RunSupervisor, NumbersATaskAnewThatTheWorkerKnows) {
  driver_.Dispatch(0);
  driver_.Started(supervisor_driver::Name(0), worker_call_result::kSuperseded);
  const auto starts = driver_.All<start_run>();
  ASSERT_EQ(starts.size(), 2U);
  EXPECT_GT(starts[1].id.run_number, starts[0].id.run_number);
}

// Guards against runs that stand still until their deadline.
TEST_F(RunSupervisor, StopsARunThatStandsStill) {
  Run(0);
  driver_.PassAlive(milliseconds(700), {{supervisor_driver::Name(0), 30}});
  EXPECT_EQ(driver_.All<stop_run>().size(), 1U);
  EXPECT_EQ(driver_.core->counters().stalls, 1U);
}

// Guards against a short run that stands still until its job is late, although
// the worker would have shown progress at every look.
TEST_F(RunSupervisor, StopsAShortRunThatStandsStillWithinItsTarget) {
  driver_.Dispatch(0, milliseconds(50));
  driver_.Started(supervisor_driver::Name(0));
  driver_.PassAlive(milliseconds(200), {{supervisor_driver::Name(0), 0}});
  EXPECT_EQ(driver_.core->counters().stalls, 1U);
}

// Guards against a slow run that is taken to stand still: its next percent
// takes longer than a short run as a whole.
TEST_F(RunSupervisor, LeavesASlowRunAlone) {
  driver_.Dispatch(0, milliseconds(1500));
  driver_.Started(supervisor_driver::Name(0));
  driver_.PassAlive(milliseconds(350), {{supervisor_driver::Name(0), 0}});
  driver_.PassAlive(milliseconds(350), {{supervisor_driver::Name(0), 1}});
  EXPECT_EQ(driver_.core->counters().stalls, 0U);
}

// Guards against a run that is taken to stand still because this process was
// suspended between a look's answer and its handling.
TEST_F(RunSupervisor, JudgesAStandstillByTheTimeOfTheLook) {
  driver_.Dispatch(0, milliseconds(50));
  driver_.Started(supervisor_driver::Name(0));
  driver_.PassAlive(milliseconds(75), {{supervisor_driver::Name(0), 10}});
  driver_.now += milliseconds(300);
  driver_.AnswerLook({{supervisor_driver::Name(0), 10}});
  EXPECT_EQ(driver_.core->counters().stalls, 0U);
}

// Guards against runs that are waited for although their worker has crashed.
TEST_F(RunSupervisor, LosesTheRunsOfACrashedWorker) {
  Run(0);
  driver_.LookFails(worker_call_result::kUnreachable);
  ASSERT_EQ(driver_.Reports().size(), 1U);
  EXPECT_EQ(driver_.Reports()[0].reason, run_reason::kWorkerLost);
}

// Guards against a report of an earlier life that was held up on the way.
TEST_F(RunSupervisor, IgnoresReportsOfAnEarlierLife) {
  driver_.Handle(supervisor_driver::Worker(2000));
  driver_.AnswerLook({}, {}, 2000);
  Run(0);
  driver_.Handle(supervisor_driver::Worker(1000, 9));
  EXPECT_TRUE(driver_.Reports().empty());
  EXPECT_EQ(driver_.core->gauges().running, 1U);
}

// Guards against starts on a worker that is leaving, also of tasks that were
// queued before.
TEST_F(RunSupervisor, StartsNothingOnALeavingWorker) {
  for (std::uint32_t task = 0; task < 11; ++task) {
    driver_.Dispatch(task);
    driver_.Started(supervisor_driver::Name(task));
  }
  auto leaving = supervisor_driver::Worker(supervisor_driver::kBorn, 2);
  leaving.draining = true;
  driver_.Handle(leaving);
  ASSERT_EQ(driver_.Reports().size(), 1U);
  EXPECT_EQ(driver_.Reports()[0].reason, run_reason::kDraining);
  const auto starts = driver_.All<start_run>().size();
  driver_.AnswerLook({}, {{1, supervisor_driver::Name(0), run_end::kDone}});
  driver_.Dispatch(20);
  EXPECT_EQ(driver_.All<start_run>().size(), starts);
  // Given back at once, not when its time in the queue is over.
  EXPECT_EQ(driver_.Reports().back().task, 20U);
  EXPECT_EQ(driver_.Reports().back().reason, run_reason::kDraining);
}

// Guards against a late dispatch, held up in a buffer, that starts a task
// whose job was answered long ago.
TEST_F(RunSupervisor, RefusesADispatchAfterItsLimit) {
  auto frame = driver_.Frame(0);
  wire::run_dispatch dispatch;
  dispatch.job = 9;
  dispatch.attempt = 1;
  dispatch.job_key = "late";
  dispatch.need = {1600, 64, 0};
  dispatch.start_by = driver_.EntryNow() + milliseconds(50);
  dispatch.queue_bound = seconds(1);
  frame.messages.emplace_back(dispatch);
  driver_.now += milliseconds(100);
  driver_.Handle(entry_frame{0, frame});
  EXPECT_TRUE(driver_.All<start_run>().empty());
  ASSERT_EQ(driver_.Reports().size(), 1U);
  EXPECT_EQ(driver_.Reports()[0].reason, run_reason::kTooLate);
}

// Guards against an agent that ends while tasks run, or never.
TEST_F(RunSupervisor, DrainsOnceItsRunsHaveEnded) {
  Run(0);
  driver_.Handle(agent_drain_requested{});
  EXPECT_TRUE(driver_.All<supervisor_drained>().empty());
  driver_.AnswerLook({}, {{1, supervisor_driver::Name(0), run_end::kDone}});
  driver_.AnswerLook({});
  driver_.Pass(milliseconds(10));
  EXPECT_EQ(driver_.All<supervisor_drained>().size(), 1U);
}

}  // namespace
}  // namespace egretrack::scheduler
