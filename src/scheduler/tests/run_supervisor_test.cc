#include "egretrack/scheduler/run_supervisor.h"

#include <gtest/gtest.h>

#include "egretrack/scheduler/deployment_limits.h"
#include "scheduler/tests/supervisor_driver.h"

namespace egretrack::scheduler {
namespace {

using wire::run_end;
using wire::run_reason;

class RunSupervisor : public testing::Test {
 protected:
  void SetUp() override { driver_.ConnectIdleWorker(); }

  // Dispatches a task and lets the worker confirm its start.
  void StartConfirmedRun(std::uint32_t task) {
    driver_.Dispatch(task);
    driver_.AnswerStart(supervisor_driver::RunId(task));
  }

  // Reports a restart of the worker under its id, which polls confirm.
  void RestartWorker(std::int64_t worker_incarnation) {
    driver_.AdvanceTime(milliseconds(5));
    driver_.Handle(supervisor_driver::WorkerReport(worker_incarnation));
    driver_.AnswerPoll({}, {}, worker_incarnation);
    driver_.AnswerPoll({}, {}, worker_incarnation);
  }

  // Advances the clock while entries answer heartbeats and polls fail.
  void AdvanceWithoutPollAnswers(microseconds time) {
    constexpr milliseconds kStep{25};
    for (microseconds passed{0}; passed < time; passed += kStep) {
      driver_.AdvanceTime(kStep);
      driver_.AnswerHeartbeats();
      if (driver_.Commands<poll_worker>().size() > driver_.answered_polls)
        driver_.FailPoll();
    }
  }

  supervisor_driver driver_;
};

// Guards against a run that ends without a report, and against ended runs that
// the worker keeps listing because they are not acknowledged.
TEST_F(RunSupervisor, ReportsAndAcknowledgesEndedRun) {
  StartConfirmedRun(0);
  driver_.AnswerPoll({}, {{5, supervisor_driver::RunId(0), run_end::kDone}});
  ASSERT_EQ(driver_.Reports().size(), 1U);
  EXPECT_EQ(driver_.Reports()[0].end, run_end::kDone);
  EXPECT_EQ(driver_.Commands<poll_worker>().back().last_end_seen, 5U);
}

// Guards against a run that is started without a lease and so outlives the
// agent.
TEST_F(RunSupervisor, StartsRunWithLease) {
  driver_.Dispatch(0);
  const auto starts = driver_.Commands<start_run>();
  ASSERT_EQ(starts.size(), 1U);
  EXPECT_GT(starts[0].lease_until, driver_.WorkerNow());
  EXPECT_LE(starts[0].lease_until,
            driver_.WorkerNow() + supervisor_driver::Options().lease);
  EXPECT_EQ(starts[0].target.fence, 10U);
}

// Guards against a worker that refuses every start after an idle time, because
// the lease is computed from an old reading of its clock and has already ended.
TEST_F(RunSupervisor, ReadsWorkerClockBeforeStartAfterIdleTime) {
  for (std::uint64_t report = 2; report <= 61; ++report) {
    driver_.AdvanceTime(seconds(1));
    driver_.AnswerHeartbeats();
    driver_.Handle(supervisor_driver::WorkerReport(
        supervisor_driver::kWorkerIncarnation, report));
  }
  driver_.Dispatch(0);
  EXPECT_TRUE(driver_.Commands<start_run>().empty());
  driver_.AnswerPoll({});
  ASSERT_EQ(driver_.Commands<start_run>().size(), 1U);
  EXPECT_GT(driver_.Commands<start_run>()[0].lease_until,
            driver_.WorkerNow() + supervisor_driver::Options().lease / 2);
}

// Guards against starting more runs than the worker's resources allow.
TEST_F(RunSupervisor, QueuesRunsBeyondCapacity) {
  for (std::uint32_t task = 0; task < 12; ++task) {
    driver_.Dispatch(task);
    driver_.AnswerStart(supervisor_driver::RunId(task));
  }
  EXPECT_EQ(driver_.Commands<start_run>().size(), 10U);
  driver_.AnswerPoll({}, {{1, supervisor_driver::RunId(3), run_end::kDone}});
  EXPECT_EQ(driver_.Commands<start_run>().size(), 11U);
}

// Guards against tasks that stay in a full queue while another worker has free
// resources.
TEST_F(RunSupervisor, ReturnsRunQueuedTooLong) {
  for (std::uint32_t task = 0; task < 11; ++task) {
    driver_.Dispatch(task);
    driver_.AnswerStart(supervisor_driver::RunId(task));
  }
  std::vector<running_row> running;
  for (std::uint32_t task = 0; task < 10; ++task)
    running.push_back({supervisor_driver::RunId(task), 50});
  driver_.AdvanceWithAnswers(milliseconds(450), running);
  ASSERT_FALSE(driver_.Reports().empty());
  EXPECT_EQ(driver_.Reports()[0].task, 10U);
  EXPECT_EQ(driver_.Reports()[0].reason, run_reason::kQueuedTooLong);
}

// Guards against returning a task whose unanswered start call may still take
// effect. The refusal of a repeated call does not rule that out; two runs of
// one task resulted (seen on turni-gas trouble-1 and taktwerk-sched scale-2).
TEST_F(RunSupervisor, StopsUnansweredStartBeforeReturningRun) {
  driver_.Dispatch(0);
  driver_.AnswerStart(supervisor_driver::RunId(0),
                      worker_call_result::kUnanswered);
  ASSERT_EQ(driver_.Commands<start_run>().size(), 2U);
  driver_.AnswerStart(supervisor_driver::RunId(0),
                      worker_call_result::kNoResources);
  EXPECT_TRUE(driver_.Reports().empty());
  ASSERT_EQ(driver_.Commands<stop_run>().size(), 1U);
  driver_.Handle(stop_answered{
      supervisor_driver::RunId(0), worker_call_result::kAccepted, {}});
  EXPECT_TRUE(driver_.Reports().empty());
  driver_.AdvanceWithAnswers(milliseconds(150), {});
  ASSERT_EQ(driver_.Reports().size(), 1U);
  EXPECT_EQ(driver_.Reports()[0].end, run_end::kRefused);
  EXPECT_EQ(driver_.Reports()[0].reason, run_reason::kUnanswered);
}

// Guards against treating a run as ended because a poll that was sent before
// its start was confirmed does not list it. Two runs of one task resulted when
// the first start call got no answer (seen on turni-gas scale-2).
TEST_F(RunSupervisor, KeepsRunMissingFromPollSentBeforeConfirmation) {
  StartConfirmedRun(1);
  driver_.Dispatch(0);
  driver_.AdvanceTime(milliseconds(150));
  driver_.AnswerPoll({{supervisor_driver::RunId(1), 10}});
  driver_.AdvanceTime(milliseconds(50));
  driver_.AnswerStart(supervisor_driver::RunId(0),
                      worker_call_result::kUnanswered);
  driver_.AnswerStart(supervisor_driver::RunId(0));
  driver_.AnswerPoll({{supervisor_driver::RunId(1), 40}});
  EXPECT_TRUE(driver_.Reports().empty());
  EXPECT_EQ(driver_.core->gauges().running, 2U);
}

// Guards against a failed stop call that is repeated without a delay, or never.
TEST_F(RunSupervisor, RetriesStopAfterDelay) {
  StartConfirmedRun(0);
  auto frame = driver_.MakeFrame(0);
  frame.messages.emplace_back(wire::run_cancel{1, {}});
  driver_.Handle(entry_frame{0, frame});
  ASSERT_EQ(driver_.Commands<stop_run>().size(), 1U);
  driver_.Handle(stop_answered{
      supervisor_driver::RunId(0), worker_call_result::kRejected, {}});
  EXPECT_EQ(driver_.Commands<stop_run>().size(), 1U);
  driver_.AdvanceTime(milliseconds(60));
  EXPECT_EQ(driver_.Commands<stop_run>().size(), 2U);
}

// Guards against runs that continue for an entry that has ended or is
// unreachable. Its callers resubmit their jobs to another entry after 1.3 s.
TEST_F(RunSupervisor, StopsRunsOfSilentEntry) {
  StartConfirmedRun(0);
  const auto started_at = driver_.now;
  std::uint32_t percent = 0;
  while (driver_.Commands<stop_run>().empty() &&
         driver_.now - started_at < seconds(2)) {
    driver_.AdvanceTime(milliseconds(25));
    driver_.AnswerHeartbeats({1});
    driver_.AnswerPoll({{supervisor_driver::RunId(0), ++percent}});
  }
  EXPECT_EQ(driver_.core->counters().stalls, 0U);
  EXPECT_FALSE(driver_.Commands<stop_run>().empty());
  EXPECT_LE(driver_.now - started_at, milliseconds(700));
  EXPECT_EQ(driver_.LastSettled(0), false);
  driver_.Handle(stop_answered{
      supervisor_driver::RunId(0), worker_call_result::kAccepted, {}});
  driver_.AnswerPoll({}, {{1, supervisor_driver::RunId(0), run_end::kLost}});
  driver_.AdvanceWithAnswers(milliseconds(300), {});
  EXPECT_EQ(driver_.LastSettled(0), true);
  EXPECT_TRUE(driver_.Reports().empty());
}

// Guards against runs of a killed entry process that continue because its
// successor answers on the same connection within the silence timeout. The
// callers resubmit their jobs to other entries, which start the tasks again.
TEST_F(RunSupervisor, StopsRunsOfRestartedEntry) {
  StartConfirmedRun(0);
  const connection_number connection = driver_.Connection(0);
  driver_.RestartEntry(0);
  ASSERT_EQ(driver_.Commands<stop_run>().size(), 1U);
  EXPECT_EQ(driver_.Commands<stop_run>()[0].id, supervisor_driver::RunId(0));
  EXPECT_GT(driver_.Connection(0), connection);
  EXPECT_EQ(driver_.LastSettled(0), false);
  driver_.Handle(stop_answered{
      supervisor_driver::RunId(0), worker_call_result::kAccepted, {}});
  driver_.AnswerPoll({}, {{1, supervisor_driver::RunId(0), run_end::kDone}});
  driver_.AdvanceWithAnswers(milliseconds(300), {});
  EXPECT_EQ(driver_.LastSettled(0), true);
  EXPECT_TRUE(driver_.Reports().empty());
}

// Guards against an end of a run that reaches another entry process than the
// one that dispatched it.
TEST_F(RunSupervisor, AddressesFramesToTheEntryProcess) {
  const auto addressed = [&] {
    return driver_.Commands<send_to_entry>().back().frame.entry_incarnation;
  };
  StartConfirmedRun(0);
  driver_.AnswerPoll({}, {{5, supervisor_driver::RunId(0), run_end::kDone}});
  EXPECT_EQ(addressed(), driver_.EntryIncarnation(0));
  driver_.RestartEntry(0);
  EXPECT_EQ(driver_.Commands<send_to_entry>().back().entry, 0U);
  EXPECT_EQ(addressed(), incarnation{});
  // The first answer is acknowledged at once, so that the entry uses the agent.
  const std::size_t sent = driver_.Commands<send_to_entry>().size();
  driver_.AnswerHeartbeats({0});
  EXPECT_GT(driver_.Commands<send_to_entry>().size(), sent);
  EXPECT_EQ(addressed(), driver_.EntryIncarnation(0));
}

// Guards against runs of a killed entry that outlive the time after which its
// callers resubmit their jobs, because no stop is accepted while polls, which
// renew the lease, are answered.
TEST_F(RunSupervisor, RenewsLeaseForSilentEntryOnlyUntilResubmission) {
  constexpr milliseconds kResubmitAfter{1300};
  supervisor_options options = supervisor_driver::Options();
  ApplyLimits(deployment_limits::Create(1000, kResubmitAfter.count(), 6),
              options);
  supervisor_driver driver(options);
  driver.ConnectIdleWorker();
  driver.Dispatch(0);
  driver.AnswerStart(supervisor_driver::RunId(0));
  const auto last_alive = driver.now;
  const auto clock_offset = supervisor_driver::kWorkerClockAtStart;
  milliseconds lease_end{0};
  std::uint32_t percent = 0;
  while (driver.now - last_alive < seconds(1)) {
    driver.AdvanceTime(milliseconds(10));
    driver.AnswerHeartbeats({1});
    driver.AnswerPoll({{supervisor_driver::RunId(0), ++percent}});
    for (const auto& poll : driver.Commands<poll_worker>())
      lease_end = std::max(lease_end, poll.lease_until - clock_offset);
  }
  EXPECT_GT(lease_end, milliseconds(0));
  EXPECT_LE(monotonic_time(lease_end) - last_alive, kResubmitAfter);
}

// Guards against a queued task of a killed entry process that starts after its
// successor has answered.
TEST_F(RunSupervisor, DropsQueuedRunsOfRestartedEntry) {
  for (std::uint32_t task = 0; task < 11; ++task) {
    driver_.Dispatch(task);
    driver_.AnswerStart(supervisor_driver::RunId(task));
  }
  driver_.RestartEntry(0);
  EXPECT_EQ(driver_.core->gauges().queued, 0U);
  driver_.AnswerPoll({}, {{1, supervisor_driver::RunId(3), run_end::kDone}});
  EXPECT_EQ(driver_.Commands<start_run>().size(), 10U);
}

// Guards against a dispatch, a cancellation or a list of entries of one entry
// process that takes effect on the connection of another.
TEST_F(RunSupervisor, IgnoresMessagesOfAnotherEntryProcess) {
  StartConfirmedRun(0);
  driver_.entry_restarts[0] = 1;
  auto frame = driver_.MakeFrame(0);
  wire::beat_reply reply;
  reply.members_hash = 5;
  reply.members = {{"e9", "10.0.0.9:7"}};
  frame.messages.emplace_back(reply);
  frame.messages.emplace_back(wire::run_cancel{1, {}});
  const std::size_t links = driver_.Commands<open_link>().size();
  driver_.Handle(entry_frame{0, frame});
  // The one new connection is that to the restarted entry.
  ASSERT_EQ(driver_.Commands<open_link>().size(), links + 1);
  EXPECT_EQ(driver_.Commands<open_link>().back().entry, 0U);
  driver_.Dispatch(1, milliseconds(100), 1);
  EXPECT_EQ(driver_.Commands<start_run>().size(), 2U);
}

// Guards against an entry that restarts three times within the silence timeout,
// of which only the first restart is noticed.
TEST_F(RunSupervisor, StopsRunsOnEachRestartOfAnEntry) {
  for (std::uint32_t restart = 1; restart <= 3; ++restart) {
    driver_.Dispatch(restart);
    driver_.AnswerStart(supervisor_driver::RunId(restart));
    driver_.RestartEntry(0);
    EXPECT_EQ(driver_.Commands<stop_run>().size(), restart);
    driver_.AnswerHeartbeats();
    driver_.AdvanceTime(milliseconds(50));
  }
}

// Guards against renewing a lease after the agent was suspended, as the entry
// may have dispatched the tasks to other agents meanwhile.
TEST_F(RunSupervisor, DoesNotRenewLeaseAfterSuspension) {
  StartConfirmedRun(0);
  driver_.AnswerPoll({{supervisor_driver::RunId(0), 10}});
  const auto starts = driver_.Commands<start_run>().size();
  const auto polls = driver_.Commands<poll_worker>().size();
  driver_.AdvanceTime(seconds(3));
  driver_.AnswerPoll({});
  EXPECT_EQ(driver_.Commands<start_run>().size(), starts);
  EXPECT_EQ(driver_.core->gauges().running, 0U);
  const auto after = driver_.Commands<poll_worker>();
  for (std::size_t at = polls; at < after.size(); ++at)
    EXPECT_EQ(after[at].lease_until.count(), 0);
}

// Guards against repeating a start call right after a suspension, before the
// lease and the entry's silence are checked.
TEST_F(RunSupervisor, DoesNotResendStartAfterSuspension) {
  driver_.Dispatch(0);
  ASSERT_EQ(driver_.Commands<start_run>().size(), 1U);
  driver_.now += seconds(3);
  driver_.AnswerStart(supervisor_driver::RunId(0),
                      worker_call_result::kUnanswered);
  EXPECT_EQ(driver_.Commands<start_run>().size(), 1U);
  EXPECT_EQ(driver_.core->gauges().running, 0U);
}

// Guards against renewing the lease of a worker that does not answer. The time
// at which its runs end would then be unknown.
TEST_F(RunSupervisor, LetsLeaseOfSilentWorkerExpire) {
  StartConfirmedRun(0);
  const auto started_at = driver_.now;
  while (driver_.Reports().empty() && driver_.now - started_at < seconds(5)) {
    driver_.AdvanceTime(milliseconds(50));
    driver_.AnswerHeartbeats();
    if (driver_.Commands<poll_worker>().size() > driver_.answered_polls)
      driver_.FailPoll();
  }
  ASSERT_EQ(driver_.Reports().size(), 1U);
  EXPECT_EQ(driver_.Reports()[0].end, run_end::kLost);
  EXPECT_EQ(driver_.Reports()[0].reason, run_reason::kLeaseLapsed);
  EXPECT_LE(driver_.now - started_at, milliseconds(1000));
}

// Guards against a worker that is no longer polled once its runs were lost.
// Such a worker stayed registered but started nothing until it restarted.
TEST_F(RunSupervisor, StartsRunsAfterWorkerSilence) {
  StartConfirmedRun(0);
  AdvanceWithoutPollAnswers(seconds(2));
  ASSERT_EQ(driver_.core->gauges().running, 0U);
  driver_.AdvanceWithAnswers(milliseconds(200), {});
  driver_.Dispatch(1);
  ASSERT_FALSE(driver_.Commands<start_run>().empty());
  EXPECT_EQ(driver_.Commands<start_run>().back().id,
            supervisor_driver::RunId(1));
}

// Guards against a lost poll that hides run ends, and so free resources, for
// more than 60 ms, the slack of a short task. A poll to a worker that
// answers in time has a limit of 20 ms beyond its wait.
TEST_F(RunSupervisor, LimitsDelayAfterLostPoll) {
  StartConfirmedRun(0);
  driver_.AnswerPoll({{supervisor_driver::RunId(0), 10}});
  const poll_worker poll = driver_.Commands<poll_worker>().back();
  EXPECT_LE(poll.wait, milliseconds(40));
  EXPECT_LE(poll.wait + poll.time_limit, milliseconds(60));
}

// Guards against treating a worker as silent because the agent or the worker
// got no processor time for 100 ms.
TEST_F(RunSupervisor, KeepsWorkerAfterBriefPollFailures) {
  StartConfirmedRun(0);
  for (int poll = 0; poll < 6; ++poll) {
    driver_.FailPoll();
    driver_.AdvanceTime(milliseconds(25));
  }
  driver_.AnswerPoll({{supervisor_driver::RunId(0), 40}});
  driver_.Dispatch(1);
  EXPECT_EQ(driver_.Commands<start_run>().size(), 2U);
  EXPECT_EQ(driver_.LastHeartbeatNamesWorker(0), true);
}

// Guards against a silent worker that attracts tasks because it appears idle.
// Each of them waited for its whole queue bound without being started.
TEST_F(RunSupervisor, RefusesDispatchesWhileWorkerIsSilent) {
  for (std::uint32_t task = 0; task < 11; ++task) {
    driver_.Dispatch(task);
    driver_.AnswerStart(supervisor_driver::RunId(task));
  }
  AdvanceWithoutPollAnswers(milliseconds(350));
  ASSERT_EQ(driver_.Reports().size(), 1U);
  EXPECT_EQ(driver_.Reports()[0].end, run_end::kRefused);
  EXPECT_EQ(driver_.Reports()[0].reason, run_reason::kNoWorker);
  EXPECT_EQ(driver_.LastHeartbeatNamesWorker(0), false);

  const std::size_t starts = driver_.Commands<start_run>().size();
  driver_.Dispatch(20);
  ASSERT_EQ(driver_.Reports().size(), 2U);
  EXPECT_EQ(driver_.Reports()[1].reason, run_reason::kNoWorker);
  EXPECT_EQ(driver_.Commands<start_run>().size(), starts);

  driver_.AdvanceWithAnswers(milliseconds(100), {});
  EXPECT_EQ(driver_.LastHeartbeatNamesWorker(0), true);
}

// Guards against tasks that stay queued at an agent whose worker has left, and
// against giving up its runs because another process sent a deregistration.
TEST_F(RunSupervisor, ReturnsQueuedRunsWhenWorkerLeaves) {
  for (std::uint32_t task = 0; task < 11; ++task) {
    driver_.Dispatch(task);
    driver_.AnswerStart(supervisor_driver::RunId(task));
  }
  driver_.Handle(worker_deregistered{"w"});
  ASSERT_EQ(driver_.Reports().size(), 1U);
  EXPECT_EQ(driver_.Reports()[0].task, 10U);
  EXPECT_EQ(driver_.Reports()[0].end, run_end::kRefused);
  EXPECT_EQ(driver_.Reports()[0].reason, run_reason::kNoWorker);
  EXPECT_EQ(driver_.core->gauges().running, 10U);
  driver_.AnswerHeartbeats();
  EXPECT_EQ(driver_.LastHeartbeatNamesWorker(0), false);
  std::vector<ended_row> ended;
  for (std::uint32_t task = 0; task < 10; ++task)
    ended.push_back({task + 1, supervisor_driver::RunId(task), run_end::kDone});
  driver_.AnswerPoll({}, ended);
  EXPECT_EQ(driver_.Reports().size(), 11U);
  EXPECT_TRUE(driver_.core->gauges().has_worker);
  driver_.AnswerPoll({});
  driver_.AdvanceTime(milliseconds(5));
  EXPECT_FALSE(driver_.core->gauges().has_worker);
}

// Guards against an idle worker that is no longer used after a deregistration
// that it did not send.
TEST_F(RunSupervisor, UsesWorkerThatReportsAfterItsDeregistration) {
  StartConfirmedRun(0);
  driver_.Handle(worker_deregistered{"w"});
  driver_.Handle(supervisor_driver::WorkerReport(
      supervisor_driver::kWorkerIncarnation, 2));
  driver_.AnswerHeartbeats();
  EXPECT_EQ(driver_.LastHeartbeatNamesWorker(0), true);
  driver_.Dispatch(1);
  EXPECT_EQ(driver_.Commands<start_run>().size(), 2U);
}

// Guards against a predicted wait of zero for a long queue when no run has been
// started that could be used for the prediction.
TEST_F(RunSupervisor, PredictsWaitWithQueuedRunsOnly) {
  driver_.Handle(supervisor_driver::WorkerReport(2000, 1));  // Not polled yet.
  for (std::uint32_t task = 0; task < 30; ++task)
    driver_.Dispatch(task, milliseconds(100));
  driver_.AdvanceTime(milliseconds(300));
  EXPECT_GE(driver_.Commands<send_to_entry>().back().frame.load.wait,
            milliseconds(100));
}

// Guards against runs of an earlier agent incarnation that continue unnoticed,
// and against reporting to an entry too early that they have ended.
TEST(RunSupervisorStart, StopsOrphanedRuns) {
  supervisor_driver driver;
  driver.Handle(supervisor_driver::WorkerReport());
  EXPECT_EQ(driver.LastSettled(0), false);
  const run_id orphan{"old", 0, 3, 2};
  driver.AnswerPoll({{orphan, 20}});
  ASSERT_EQ(driver.Commands<stop_run>().size(), 1U);
  EXPECT_EQ(driver.Commands<stop_run>()[0].id, orphan);
  driver.AdvanceWithAnswers(milliseconds(300), {{orphan, 20}});
  EXPECT_EQ(driver.LastSettled(0), false);
  driver.AnswerPoll({}, {{1, orphan, run_end::kLost}});
  driver.AdvanceWithAnswers(milliseconds(300), {});
  EXPECT_EQ(driver.LastSettled(0), true);
}

// Guards against a restarted agent that waits up to 1.5 s for its worker's next
// report although the worker was stored.
TEST(RunSupervisorStart, RestoresStoredWorker) {
  supervisor_driver first_agent;
  first_agent.Handle(supervisor_driver::WorkerReport());
  const auto stored = first_agent.Commands<store_worker>();
  ASSERT_EQ(stored.size(), 1U);
  supervisor_driver second_agent;
  second_agent.Handle(worker_restored{stored[0].report});
  second_agent.AnswerPoll({});
  second_agent.AnswerHeartbeats();
  second_agent.Dispatch(0);
  EXPECT_EQ(second_agent.Commands<start_run>().size(), 1U);
  EXPECT_TRUE(second_agent.Commands<store_worker>().empty());
}

// Guards against using a stored worker that has been replaced since.
TEST(RunSupervisorStart, ForgetsRestoredWorkerThatWasReplaced) {
  supervisor_driver driver;
  driver.Handle(worker_restored{supervisor_driver::WorkerReport()});
  driver.AnswerPoll({}, {}, 2000);
  EXPECT_FALSE(driver.core->gauges().has_worker);
  driver.Handle(supervisor_driver::WorkerReport(2000));
  EXPECT_TRUE(driver.core->gauges().has_worker);
  driver.AnswerPoll({}, {}, 2000);
  driver.AnswerHeartbeats();
  driver.Dispatch(0);
  EXPECT_EQ(driver.Commands<start_run>().size(), 1U);
}

// Guards against a fencing token that stays below that of an earlier
// incarnation after the clock was set back.
TEST_F(RunSupervisor, RaisesRefusedFence) {
  driver_.Dispatch(0);
  driver_.AnswerStart(supervisor_driver::RunId(0), worker_call_result::kFenced);
  const auto starts = driver_.Commands<start_run>();
  ASSERT_EQ(starts.size(), 2U);
  EXPECT_GT(starts[1].target.fence, starts[0].target.fence);
}

// Guards against two concurrent runs of a task when a job is resubmitted while
// its first run is still being stopped.
TEST_F(RunSupervisor, DelaysStartUntilEarlierRunOfTaskHasEnded) {
  StartConfirmedRun(0);
  driver_.Dispatch(0, milliseconds(100), 1);
  EXPECT_EQ(driver_.Commands<start_run>().size(), 1U);
  auto frame = driver_.MakeFrame(0);
  frame.messages.emplace_back(wire::run_cancel{1, {}});
  driver_.Handle(entry_frame{0, frame});
  EXPECT_EQ(driver_.Commands<start_run>().size(), 1U);
  driver_.AnswerPoll({}, {{1, supervisor_driver::RunId(0), run_end::kLost}});
  EXPECT_EQ(driver_.Commands<start_run>().size(), 2U);
}

// Guards against a run number that the worker has seen before, so that it
// refuses every start of the task.
TEST_F(RunSupervisor, RenumbersSupersededRun) {
  driver_.Dispatch(0);
  driver_.AnswerStart(supervisor_driver::RunId(0),
                      worker_call_result::kSuperseded);
  const auto starts = driver_.Commands<start_run>();
  ASSERT_EQ(starts.size(), 2U);
  EXPECT_GT(starts[1].id.run_number, starts[0].id.run_number);
}

// Guards against stalled runs that continue until their deadline.
TEST_F(RunSupervisor, StopsStalledRun) {
  StartConfirmedRun(0);
  driver_.AdvanceWithAnswers(milliseconds(700),
                             {{supervisor_driver::RunId(0), 30}});
  EXPECT_EQ(driver_.Commands<stop_run>().size(), 1U);
  EXPECT_EQ(driver_.core->counters().stalls, 1U);
}

// Guards against a stalled short run that continues until its job is late,
// although each poll would have shown progress.
TEST_F(RunSupervisor, StopsStalledShortRunBeforeItsTarget) {
  driver_.Dispatch(0, milliseconds(50));
  driver_.AnswerStart(supervisor_driver::RunId(0));
  driver_.AdvanceWithAnswers(milliseconds(200),
                             {{supervisor_driver::RunId(0), 0}});
  EXPECT_EQ(driver_.core->counters().stalls, 1U);
}

// Guards against stopping a slow run as stalled. One percent of its work may
// take longer than a whole short run.
TEST_F(RunSupervisor, KeepsSlowRun) {
  driver_.Dispatch(0, milliseconds(1500));
  driver_.AnswerStart(supervisor_driver::RunId(0));
  driver_.AdvanceWithAnswers(milliseconds(350),
                             {{supervisor_driver::RunId(0), 0}});
  driver_.AdvanceWithAnswers(milliseconds(350),
                             {{supervisor_driver::RunId(0), 1}});
  EXPECT_EQ(driver_.core->counters().stalls, 0U);
}

// Guards against stopping a run as stalled because the agent was suspended
// before it handled a poll response.
TEST_F(RunSupervisor, MeasuresStallUntilPollWasSent) {
  driver_.Dispatch(0, milliseconds(50));
  driver_.AnswerStart(supervisor_driver::RunId(0));
  driver_.AdvanceWithAnswers(milliseconds(75),
                             {{supervisor_driver::RunId(0), 10}});
  driver_.now += milliseconds(300);
  driver_.AnswerPoll({{supervisor_driver::RunId(0), 10}});
  EXPECT_EQ(driver_.core->counters().stalls, 0U);
}

// Guards against giving up runs because a connection to their worker was
// refused or reset. The tasks were started elsewhere while they ran on.
TEST_F(RunSupervisor, KeepsRunsOfWorkerThatCannotBeReached) {
  StartConfirmedRun(0);
  driver_.AnswerPoll({{supervisor_driver::RunId(0), 10}});
  for (int poll = 0; poll < 3; ++poll) {
    driver_.FailPoll(worker_call_result::kUnreachable);
    driver_.AdvanceTime(milliseconds(20));
  }
  EXPECT_TRUE(driver_.Reports().empty());
  EXPECT_EQ(driver_.core->gauges().running, 1U);
  driver_.AnswerHeartbeats();
  EXPECT_EQ(driver_.LastHeartbeatNamesWorker(0), false);
  driver_.AnswerPoll({{supervisor_driver::RunId(0), 20}});
  EXPECT_EQ(driver_.LastHeartbeatNamesWorker(0), true);
  driver_.AnswerPoll({}, {{1, supervisor_driver::RunId(0), run_end::kDone}});
  ASSERT_EQ(driver_.Reports().size(), 1U);
  EXPECT_EQ(driver_.Reports()[0].end, run_end::kDone);
}

// Guards against waiting for the runs of a crashed worker for longer than their
// lease, and against renewing a lease that ends them.
TEST_F(RunSupervisor, ReportsRunsOfCrashedWorkerAsLostAfterLease) {
  StartConfirmedRun(0);
  driver_.AnswerPoll({{supervisor_driver::RunId(0), 10}});
  const auto last_renewal = driver_.now;
  while (driver_.Reports().empty() && driver_.now - last_renewal < seconds(5)) {
    EXPECT_LE(driver_.now - last_renewal,
              supervisor_driver::Options().lease + milliseconds(50));
    if (driver_.Commands<poll_worker>().size() > driver_.answered_polls)
      driver_.FailPoll(worker_call_result::kUnreachable);
    driver_.AdvanceTime(milliseconds(5));
    driver_.AnswerHeartbeats();
  }
  EXPECT_GE(driver_.now - last_renewal, supervisor_driver::Options().lease);
  ASSERT_EQ(driver_.Reports().size(), 1U);
  EXPECT_EQ(driver_.Reports()[0].end, run_end::kLost);
  EXPECT_EQ(driver_.Reports()[0].reason, run_reason::kLeaseLapsed);
}

// Guards against losing the runs of a worker when a start or a stop of another
// run cannot be sent.
TEST_F(RunSupervisor, KeepsRunsWhenAStartOrStopCannotBeSent) {
  StartConfirmedRun(0);
  driver_.AnswerPoll({{supervisor_driver::RunId(0), 10}});
  driver_.Dispatch(1);
  driver_.AnswerStart(supervisor_driver::RunId(1),
                      worker_call_result::kUnreachable);
  ASSERT_EQ(driver_.Reports().size(), 1U);
  EXPECT_EQ(driver_.Reports()[0].task, 1U);
  EXPECT_EQ(driver_.Reports()[0].end, run_end::kRefused);
  EXPECT_EQ(driver_.Reports()[0].reason, run_reason::kNoWorker);
  driver_.AnswerPoll({{supervisor_driver::RunId(0), 20}});
  auto frame = driver_.MakeFrame(0);
  frame.messages.emplace_back(wire::run_cancel{1, {}});
  driver_.Handle(entry_frame{0, frame});
  driver_.Handle(stop_answered{
      supervisor_driver::RunId(0), worker_call_result::kUnreachable, {}});
  EXPECT_EQ(driver_.core->gauges().running, 1U);
  driver_.AdvanceTime(milliseconds(60));
  EXPECT_EQ(driver_.Commands<stop_run>().size(), 2U);
}

// Guards against returning a task as not run because its repeated start call
// could not be sent, although the first one may have taken effect.
TEST_F(RunSupervisor, StopsRunWhoseRepeatedStartCannotBeSent) {
  driver_.Dispatch(0);
  driver_.AnswerStart(supervisor_driver::RunId(0),
                      worker_call_result::kUnanswered);
  driver_.AnswerStart(supervisor_driver::RunId(0),
                      worker_call_result::kUnreachable);
  EXPECT_TRUE(driver_.Reports().empty());
  EXPECT_EQ(driver_.Commands<stop_run>().size(), 1U);
}

// Guards against a delayed report of an earlier worker incarnation that
// replaces the current one.
TEST_F(RunSupervisor, IgnoresReportsOfEarlierWorkerIncarnation) {
  RestartWorker(2000);
  StartConfirmedRun(0);
  driver_.AdvanceTime(milliseconds(5));
  driver_.Handle(supervisor_driver::WorkerReport(1000, 9));
  driver_.AnswerPoll({{supervisor_driver::RunId(0), 10}}, {}, 2000);
  driver_.AnswerPoll({{supervisor_driver::RunId(0), 20}}, {}, 2000);
  EXPECT_TRUE(driver_.Reports().empty());
  EXPECT_EQ(driver_.core->gauges().running, 1U);
}

// Guards against ignoring a restarted worker because the time of day was set
// back, so that it reports an earlier birth than its last incarnation. Tasks
// were then started on the new incarnation in the name of the old one.
TEST_F(RunSupervisor, FollowsRestartedWorkerThatIsBornEarlier) {
  RestartWorker(500);
  driver_.AnswerHeartbeats();
  EXPECT_EQ(driver_.LastHeartbeatNamesWorker(0), true);
  StartConfirmedRun(0);
  driver_.AdvanceTime(milliseconds(5));
  driver_.AnswerPoll({{supervisor_driver::RunId(0), 10}}, {}, 500);
  driver_.AnswerPoll({}, {{1, supervisor_driver::RunId(0), run_end::kDone}},
                     500);
  ASSERT_EQ(driver_.Reports().size(), 1U);
  EXPECT_EQ(driver_.Reports()[0].end, run_end::kDone);
}

// Guards against starting a dispatch that was made for another worker, which
// crossed the heartbeat that names the new one (review, case 14).
TEST_F(RunSupervisor, RefusesDispatchForAnEarlierWorker) {
  auto dispatch = driver_.MakeDispatch(0);
  dispatch.worker_revision = driver_.LastHeartbeat(0)->worker[0].revision;
  ASSERT_TRUE(dispatch.worker_revision);
  auto successor = supervisor_driver::WorkerReport(2000);
  successor.id = "w2";
  successor.labels = {"b", "r1"};
  driver_.AdvanceTime(milliseconds(5));
  driver_.Handle(successor);
  driver_.FailPoll(worker_call_result::kOtherIncarnation);
  driver_.AnswerPoll({}, {}, 2000);
  driver_.AnswerHeartbeats();
  auto frame = driver_.MakeFrame(0);
  frame.messages.emplace_back(dispatch);
  const std::size_t frames = driver_.Commands<send_to_entry>().size();
  driver_.Handle(entry_frame{0, frame});
  EXPECT_TRUE(driver_.Commands<start_run>().empty());
  ASSERT_EQ(driver_.Reports().size(), 1U);
  EXPECT_EQ(driver_.Reports()[0].end, run_end::kRefused);
  EXPECT_EQ(driver_.Reports()[0].reason, run_reason::kWorkerChanged);
  // The same frame describes the worker, so that the task is placed by it.
  ASSERT_EQ(driver_.Commands<send_to_entry>().size(), frames + 1);
  EXPECT_EQ(driver_.Commands<send_to_entry>().back().frame.messages.size(), 2U);
  EXPECT_EQ(driver_.LastHeartbeat(0)->worker[0].labels[0], "b");
  EXPECT_NE(driver_.LastHeartbeat(0)->worker[0].revision,
            dispatch.worker_revision);
}

// Guards against starting a queued run after a report has changed the labels or
// the capacity for which its worker was chosen.
TEST_F(RunSupervisor, ReturnsQueuedRunsWhenTheWorkerChanges) {
  for (std::uint32_t task = 0; task < 11; ++task)
    driver_.Dispatch(task);
  driver_.AnswerHeartbeats();
  auto changed = supervisor_driver::WorkerReport(1000, 2);
  changed.labels = {"b", "r1"};
  driver_.Handle(changed);
  EXPECT_EQ(driver_.core->gauges().queued, 0U);
  ASSERT_FALSE(driver_.Reports().empty());
  EXPECT_EQ(driver_.Reports()[0].reason, run_reason::kWorkerChanged);
  EXPECT_EQ(driver_.LastHeartbeat(0)->worker[0].labels[0], "b");
}

// Guards against turning away dispatches for a worker that only reports again.
TEST_F(RunSupervisor, AcceptsDispatchForTheWorkerItHas) {
  auto dispatch = driver_.MakeDispatch(0);
  dispatch.worker_revision = driver_.LastHeartbeat(0)->worker[0].revision;
  driver_.Handle(supervisor_driver::WorkerReport(1000, 2));
  auto frame = driver_.MakeFrame(0);
  frame.messages.emplace_back(dispatch);
  driver_.Handle(entry_frame{0, frame});
  EXPECT_EQ(driver_.Commands<start_run>().size(), 1U);
}

// Guards against starting tasks while a report suggests that the worker has
// started again, as both lives accept calls for its id.
TEST_F(RunSupervisor, StartsNothingUntilReportedRestartIsVerified) {
  driver_.AdvanceTime(milliseconds(5));
  driver_.Handle(supervisor_driver::WorkerReport(500));
  driver_.Dispatch(0);
  EXPECT_TRUE(driver_.Commands<start_run>().empty());
  driver_.AnswerPoll({});
  EXPECT_EQ(driver_.Commands<start_run>().size(), 1U);
}

// Guards against giving up a run that was started on a incarnation of the
// worker of which the agent did not know. It ran on beside its next run.
TEST_F(RunSupervisor, StopsRunThatStartedOnAnUnknownIncarnation) {
  StartConfirmedRun(0);
  const auto fence = driver_.Commands<start_run>()[0].target.fence;
  driver_.AdvanceTime(milliseconds(5));
  driver_.AnswerPoll({{supervisor_driver::RunId(0), 10}}, {}, 2000);
  EXPECT_TRUE(driver_.Reports().empty());
  ASSERT_EQ(driver_.Commands<stop_run>().size(), 1U);
  EXPECT_GT(driver_.Commands<stop_run>()[0].target.fence, fence);
  driver_.AdvanceTime(milliseconds(5));
  driver_.AnswerPoll({{supervisor_driver::RunId(0), 10}}, {}, 2000);
  EXPECT_TRUE(driver_.Reports().empty());
  driver_.AnswerPoll({}, {{1, supervisor_driver::RunId(0), run_end::kLost}},
                     2000);
  ASSERT_EQ(driver_.Reports().size(), 1U);
  EXPECT_EQ(driver_.Reports()[0].end, run_end::kLost);
}

// Guards against waiting for a run that the earlier incarnation took with it,
// and against reporting it as not run.
TEST_F(RunSupervisor, ReportsRunOfUnknownIncarnationOnceStartIsFencedOff) {
  StartConfirmedRun(0);
  driver_.AdvanceTime(milliseconds(5));
  driver_.AnswerPoll({}, {}, 2000);
  EXPECT_TRUE(driver_.Reports().empty());
  EXPECT_GT(driver_.Commands<poll_worker>().back().target.fence,
            driver_.Commands<start_run>()[0].target.fence);
  driver_.AdvanceTime(milliseconds(5));
  driver_.AnswerPoll({}, {}, 2000);
  ASSERT_EQ(driver_.Reports().size(), 1U);
  EXPECT_EQ(driver_.Reports()[0].end, run_end::kLost);
}

// Guards against reporting a task as not run because a new incarnation of the
// worker does not list it: the earlier one may have begun it before it ended
// without an answer (review, case 12).
TEST_F(RunSupervisor, ReportsUnansweredRunOfCrashedWorkerAsLost) {
  driver_.Dispatch(0);
  driver_.AnswerStart(supervisor_driver::RunId(0),
                      worker_call_result::kUnanswered);
  driver_.AnswerStart(supervisor_driver::RunId(0),
                      worker_call_result::kUnreachable);
  driver_.FailPoll(worker_call_result::kUnreachable);
  driver_.AdvanceTime(milliseconds(100));
  driver_.AnswerPoll({}, {}, 2000);
  EXPECT_TRUE(driver_.Reports().empty());
  driver_.AdvanceTime(milliseconds(5));
  driver_.AnswerPoll({}, {}, 2000);
  ASSERT_EQ(driver_.Reports().size(), 1U);
  EXPECT_EQ(driver_.Reports()[0].end, run_end::kLost);
  EXPECT_EQ(driver_.Reports()[0].reason, run_reason::kWorkerLost);
}

// Guards against reporting a task as not run while the end of its run may stand
// on a later page of the worker's list.
TEST_F(RunSupervisor, ReadsAllEndsBeforeItReportsARunAsNotBegun) {
  driver_.Dispatch(0);
  driver_.AnswerStart(supervisor_driver::RunId(0),
                      worker_call_result::kUnanswered);
  driver_.AnswerStart(supervisor_driver::RunId(0),
                      worker_call_result::kUnanswered);
  driver_.Handle(stop_answered{
      supervisor_driver::RunId(0), worker_call_result::kAccepted, {}});
  driver_.AdvanceTime(milliseconds(100));
  driver_.FailPoll();
  driver_.AdvanceTime(milliseconds(30));
  poll_answered first_page;
  first_page.result = worker_call_result::kAccepted;
  first_page.worker_incarnation = supervisor_driver::kWorkerIncarnation;
  first_page.worker_clock = driver_.WorkerNow();
  first_page.ended = {{1, supervisor_driver::RunId(9), run_end::kDone}};
  first_page.more_ends = true;
  driver_.answered_polls = driver_.Commands<poll_worker>().size();
  driver_.Handle(first_page);
  EXPECT_TRUE(driver_.Reports().empty());
  driver_.AnswerPoll({}, {{2, supervisor_driver::RunId(0), run_end::kDone}});
  ASSERT_EQ(driver_.Reports().size(), 1U);
  EXPECT_EQ(driver_.Reports()[0].end, run_end::kDone);
}

// Guards against withholding a refusal that is true: the incarnation that got
// the start calls lists all of its runs.
TEST_F(RunSupervisor, ReportsUnlistedRunOfTheSameIncarnationAsNotRun) {
  driver_.Dispatch(0);
  driver_.AnswerStart(supervisor_driver::RunId(0),
                      worker_call_result::kUnanswered);
  driver_.AnswerStart(supervisor_driver::RunId(0),
                      worker_call_result::kUnanswered);
  driver_.Handle(stop_answered{
      supervisor_driver::RunId(0), worker_call_result::kAccepted, {}});
  driver_.AdvanceWithAnswers(milliseconds(150), {});
  ASSERT_EQ(driver_.Reports().size(), 1U);
  EXPECT_EQ(driver_.Reports()[0].end, run_end::kRefused);
}

// Guards against a late start call that reaches the new incarnation of a worker
// after its task was given up: until the new incarnation knows a higher token
// than that of the call, nothing is reported and nothing starts.
TEST_F(RunSupervisor, ReconcilesRestartedWorkerWithAHigherFence) {
  driver_.Dispatch(0);
  driver_.AdvanceTime(milliseconds(5));
  driver_.AnswerPoll({}, {}, 2000);
  driver_.AnswerStart(supervisor_driver::RunId(0),
                      worker_call_result::kUnanswered);
  EXPECT_TRUE(driver_.Reports().empty());
  driver_.Dispatch(1);
  EXPECT_EQ(driver_.Commands<start_run>().size(), 1U);
  EXPECT_EQ(driver_.LastSettled(0), false);
  driver_.AnswerPoll({}, {}, 2000);
  driver_.AnswerHeartbeats();
  EXPECT_EQ(driver_.LastSettled(0), true);
  EXPECT_EQ(driver_.Reports().size(), 2U);
}

// Guards against waiting for the runs of an earlier incarnation at the address
// where a later one answers.
TEST_F(RunSupervisor, ReportsRunsOfEarlierIncarnationAtOnce) {
  StartConfirmedRun(0);
  driver_.AdvanceTime(milliseconds(35));
  driver_.AnswerPoll({{supervisor_driver::RunId(0), 10}});
  driver_.AdvanceTime(milliseconds(35));
  driver_.AnswerPoll({{supervisor_driver::RunId(0), 20}});
  driver_.AdvanceTime(milliseconds(35));
  driver_.AnswerPoll({}, {}, 2000);
  ASSERT_EQ(driver_.Reports().size(), 1U);
  EXPECT_EQ(driver_.Reports()[0].end, run_end::kLost);
  EXPECT_EQ(driver_.Reports()[0].reason, run_reason::kWorkerLost);
}

// Guards against giving up the runs of a worker because one odd report names
// another one. The entries started the tasks elsewhere while they ran on.
TEST_F(RunSupervisor, KeepsWorkerThatAnswersWhenAnotherIsReported) {
  StartConfirmedRun(0);
  driver_.AdvanceTime(milliseconds(5));
  auto odd = supervisor_driver::WorkerReport(9000);
  odd.id = "odd";
  odd.desk = "unknown";
  odd.address = "10.0.0.9:9";
  driver_.Handle(odd);
  EXPECT_TRUE(driver_.Reports().empty());
  driver_.AdvanceWithAnswers(milliseconds(50),
                             {{supervisor_driver::RunId(0), 10}});
  EXPECT_EQ(driver_.core->gauges().running, 1U);
  EXPECT_EQ(driver_.LastHeartbeatNamesWorker(0), true);
  driver_.AnswerPoll({}, {{1, supervisor_driver::RunId(0), run_end::kDone}});
  ASSERT_EQ(driver_.Reports().size(), 1U);
  EXPECT_EQ(driver_.Reports()[0].end, run_end::kDone);
}

// Guards against calls to an address that another writer names for the worker.
TEST_F(RunSupervisor, KeepsAddressOfWorkerThatAnswers) {
  driver_.AdvanceTime(milliseconds(5));
  auto odd = supervisor_driver::WorkerReport();
  odd.address = "10.0.0.9:9";
  odd.sequence = 50;
  driver_.Handle(odd);
  driver_.AnswerPoll({});
  StartConfirmedRun(0);
  EXPECT_EQ(driver_.Commands<start_run>().back().target.address,
            supervisor_driver::WorkerReport().address);
}

// Guards against an agent that keeps a worker whose place another one has
// taken.
TEST_F(RunSupervisor, AdoptsReportedWorkerWhenItsPredecessorHasEnded) {
  driver_.AdvanceTime(milliseconds(5));
  auto successor = supervisor_driver::WorkerReport(500);
  successor.id = "w2";
  driver_.Handle(successor);
  driver_.FailPoll(worker_call_result::kOtherIncarnation);
  driver_.AnswerPoll({}, {}, 500);
  driver_.Dispatch(0);
  ASSERT_EQ(driver_.Commands<start_run>().size(), 1U);
  EXPECT_EQ(driver_.Commands<start_run>()[0].target.worker, "w2");
}

// Guards against an agent that adopts an odd report at its start and then
// ignores its worker.
TEST(RunSupervisorStart, ReplacesReportedWorkerThatDoesNotAnswer) {
  supervisor_driver driver;
  auto odd = supervisor_driver::WorkerReport(9000);
  odd.id = "odd";
  odd.address = "10.0.0.9:9";
  driver.Handle(odd);
  driver.FailPoll(worker_call_result::kUnreachable);
  driver.Handle(supervisor_driver::WorkerReport());
  while (driver.core->gauges().has_worker &&
         driver.Commands<poll_worker>().back().target.worker == "odd") {
    driver.FailPoll(worker_call_result::kUnreachable);
    driver.AdvanceTime(milliseconds(25));
  }
  driver.AnswerPoll({});
  driver.AnswerHeartbeats();
  driver.Dispatch(0);
  ASSERT_EQ(driver.Commands<start_run>().size(), 1U);
  EXPECT_EQ(driver.Commands<start_run>()[0].target.worker, "w");
}

// Guards against starts on a draining worker, including starts of tasks that
// were queued before.
TEST_F(RunSupervisor, StartsNothingOnDrainingWorker) {
  for (std::uint32_t task = 0; task < 11; ++task) {
    driver_.Dispatch(task);
    driver_.AnswerStart(supervisor_driver::RunId(task));
  }
  auto draining_report =
      supervisor_driver::WorkerReport(supervisor_driver::kWorkerIncarnation, 2);
  draining_report.draining = true;
  driver_.Handle(draining_report);
  ASSERT_EQ(driver_.Reports().size(), 1U);
  EXPECT_EQ(driver_.Reports()[0].reason, run_reason::kDraining);
  const auto starts = driver_.Commands<start_run>().size();
  driver_.AnswerPoll({}, {{1, supervisor_driver::RunId(0), run_end::kDone}});
  driver_.Dispatch(20);
  EXPECT_EQ(driver_.Commands<start_run>().size(), starts);
  // Returned at once, without waiting for the queue bound.
  EXPECT_EQ(driver_.Reports().back().task, 20U);
  EXPECT_EQ(driver_.Reports().back().reason, run_reason::kDraining);
}

// Guards against a dispatch that was delayed in a buffer and starts a task
// whose job has already been answered.
TEST_F(RunSupervisor, RefusesDispatchAfterStartLimit) {
  auto frame = driver_.MakeFrame(0);
  wire::run_dispatch dispatch = driver_.MakeDispatch(0);
  dispatch.start_by = driver_.EntryNow() + milliseconds(50);
  dispatch.queue_bound = seconds(1);
  frame.messages.emplace_back(dispatch);
  driver_.now += milliseconds(100);
  driver_.Handle(entry_frame{0, frame});
  EXPECT_TRUE(driver_.Commands<start_run>().empty());
  ASSERT_EQ(driver_.Reports().size(), 1U);
  EXPECT_EQ(driver_.Reports()[0].reason, run_reason::kTooLate);
}

// Guards against an agent that exits while tasks run, or never exits.
TEST_F(RunSupervisor, DrainsAfterRunsHaveEnded) {
  StartConfirmedRun(0);
  driver_.Handle(agent_drain_requested{});
  EXPECT_TRUE(driver_.Commands<agent_drain_finished>().empty());
  driver_.AnswerPoll({}, {{1, supervisor_driver::RunId(0), run_end::kDone}});
  driver_.AnswerPoll({});
  driver_.AdvanceTime(milliseconds(10));
  EXPECT_EQ(driver_.Commands<agent_drain_finished>().size(), 1U);
}

}  // namespace
}  // namespace egretrack::scheduler
