#include "egretrack/scheduler/job_scheduler.h"

#include <algorithm>

#include <gtest/gtest.h>

#include "scheduler/tests/scheduler_driver.h"

namespace egretrack::scheduler {
namespace {

class JobScheduler : public testing::Test {
 protected:
  void SetUp() override {
    driver_.Configure();
    driver_.SendHeartbeat(1);
    driver_.SendHeartbeat(2);
  }

  scheduler_driver driver_;
};

// Guards against answering a job before all its tasks are done.
TEST_F(JobScheduler, AnswersWhenAllTasksAreDone) {
  driver_.Handle(scheduler_driver::MakeJob(1, "j", 3));
  const auto dispatched = driver_.TakeDispatched();
  ASSERT_EQ(dispatched.size(), 3U);
  driver_.Report(dispatched[0], wire::run_end::kDone);
  driver_.Report(dispatched[1], wire::run_end::kDone);
  EXPECT_TRUE(driver_.AnswersFor(1).empty());
  driver_.Report(dispatched[2], wire::run_end::kDone);
  ASSERT_TRUE(driver_.AnswerFor(1).has_value());
  EXPECT_EQ(driver_.AnswerFor(1)->state, job_state::kCompleted);
}

// Guards against counting a repeated report as the end of another task.
TEST_F(JobScheduler, CountsEachTaskOnce) {
  driver_.Handle(scheduler_driver::MakeJob(1, "j", 2));
  const auto dispatched = driver_.TakeDispatched();
  driver_.Report(dispatched[0], wire::run_end::kDone);
  driver_.Report(dispatched[0], wire::run_end::kDone);
  EXPECT_TRUE(driver_.AnswersFor(1).empty());
}

// Guards against refusing a job with kUnknownKind before the entry has a
// configuration.
TEST(JobSchedulerStartup, IsNotReadyWithoutConfiguration) {
  scheduler_driver driver;
  driver.SendHeartbeat(1);
  EXPECT_FALSE(driver.core->ready());
  driver.Handle(scheduler_driver::MakeJob(1, "j"));
  EXPECT_EQ(driver.AnswerFor(1)->code, job_errc::kNotReady);
  driver.Configure();
  EXPECT_TRUE(driver.core->ready());
}

// Guards against accepting a job whose path matches no request kind.
TEST_F(JobScheduler, RefusesAnUnknownKind) {
  auto job = scheduler_driver::MakeJob(1, "j");
  job.path = "/other/j";
  driver_.Handle(job);
  EXPECT_EQ(driver_.AnswerFor(1)->code, job_errc::kUnknownKind);
}

// Guards against adopting an older configuration that arrives late from a stale
// read or from another entry.
TEST_F(JobScheduler, NeverAdoptsALowerVersion) {
  driver_.Configure(5);
  driver_.Configure(4);
  EXPECT_EQ(driver_.core->gauges().config_version, 5U);
}

// Guards against retrying a task on the same worker while another one is free,
// and against more failed runs than the kind's max_attempts.
TEST_F(JobScheduler, RetriesAFailedTaskOnAnotherWorkerUpToMaxAttempts) {
  driver_.Handle(scheduler_driver::MakeJob(1, "j"));
  auto dispatched = driver_.TakeDispatched();
  driver_.Report(dispatched[0], wire::run_end::kFailed);
  auto redispatched = driver_.TakeDispatched();
  ASSERT_EQ(redispatched.size(), 1U);
  EXPECT_NE(redispatched[0].agent, dispatched[0].agent);
  EXPECT_EQ(redispatched[0].dispatch.attempt, 2U);
  driver_.Report(redispatched[0], wire::run_end::kFailed);
  auto third = driver_.TakeDispatched();
  driver_.Report(third[0], wire::run_end::kFailed);
  EXPECT_TRUE(driver_.TakeDispatched().empty());
  ASSERT_TRUE(driver_.AnswerFor(1).has_value());
  EXPECT_EQ(driver_.AnswerFor(1)->state, job_state::kFailed);
}

// Guards against reporting a job as failed when its deadline passes during a
// run, although no task has used up its attempts.
TEST_F(JobScheduler, AnswersOutcomeUnknownWhenTheDeadlinePassesDuringARun) {
  driver_.Handle(scheduler_driver::MakeJob(1, "j"));
  ASSERT_EQ(driver_.TakeDispatched().size(), 1U);
  driver_.AdvanceTimeWithHeartbeats(milliseconds(1600), {1, 2});
  ASSERT_TRUE(driver_.AnswerFor(1).has_value());
  EXPECT_EQ(driver_.AnswerFor(1)->state, job_state::kOutcomeUnknown);
  EXPECT_EQ(driver_.CountCancelMessages(), 1U);
}

// Guards against answering that a job was refused although one of its tasks may
// have run.
TEST_F(JobScheduler, RefusesAJobOnlyIfNoTaskMayHaveRun) {
  driver_.Handle(scheduler_driver::MakeJob(1, "j", 2));
  const auto dispatched = driver_.TakeDispatched();
  driver_.Report(dispatched[0], wire::run_end::kRefused,
                 wire::run_reason::kTooLate);
  EXPECT_EQ(driver_.AnswerFor(1)->state, job_state::kOutcomeUnknown);

  driver_.Handle(scheduler_driver::MakeJob(2, "k"));
  driver_.Report(driver_.TakeDispatched().at(0), wire::run_end::kRefused,
                 wire::run_reason::kTooLate);
  EXPECT_EQ(driver_.AnswerFor(2)->state, job_state::kRefused);
}

// Guards against runs that continue after their caller has disconnected.
TEST_F(JobScheduler, CancelsRunsWhenTheCallerDisconnects) {
  driver_.Handle(scheduler_driver::MakeJob(1, "j", 4));
  driver_.TakeDispatched();
  driver_.Handle(caller_disconnected{caller_token{1}});
  EXPECT_GE(driver_.CountCancelMessages(), 1U);
  EXPECT_EQ(driver_.core->gauges().jobs, 0U);
  EXPECT_TRUE(driver_.AnswersFor(1).empty());
}

// Guards against completing a job with the end of a task that an earlier entry
// process dispatched. Job numbers begin at 1 in each process, so that the end
// matches a job of the restarted entry in job, task and attempt.
TEST_F(JobScheduler, IgnoresReportsAddressedToAnEarlierProcess) {
  driver_.Handle(scheduler_driver::MakeJob(1, "j"));
  const auto dispatched = driver_.TakeDispatched();
  ASSERT_EQ(dispatched.size(), 1U);
  driver_.addressed_process = incarnation{41};
  driver_.Report(dispatched[0], wire::run_end::kDone);
  EXPECT_TRUE(driver_.AnswersFor(1).empty());
  EXPECT_TRUE(driver_.RequestsReconnect());
  driver_.addressed_process =
      scheduler_driver::DefaultOptions().entry_incarnation;
  driver_.Report(dispatched[0], wire::run_end::kDone);
  ASSERT_TRUE(driver_.AnswerFor(1).has_value());
  EXPECT_EQ(driver_.AnswerFor(1)->state, job_state::kCompleted);
}

// Guards against dispatching to an agent that still takes this process for an
// earlier one, and would drop the task with that process's runs.
TEST_F(JobScheduler, DispatchesNothingOnAConnectionOfAnEarlierProcess) {
  scheduler_driver driver;
  driver.Configure();
  driver.addressed_process = incarnation{41};
  driver.SendHeartbeat(1);
  driver.Handle(scheduler_driver::MakeJob(1, "j"));
  EXPECT_TRUE(driver.TakeDispatched().empty());
  EXPECT_TRUE(driver.RequestsReconnect());
}

// Guards against ending a dispatch twice when its report ends the job: once for
// the report, and once when the job's outstanding tasks are cancelled.
TEST_F(JobScheduler, EndsDispatchOnceWhenItsReportEndsTheJob) {
  driver_.Configure(2, 1);
  driver_.Handle(scheduler_driver::MakeJob(1, "j"));
  driver_.Report(driver_.TakeDispatched().at(0), wire::run_end::kFailed);
  ASSERT_TRUE(driver_.AnswerFor(1).has_value());
  EXPECT_EQ(driver_.core->gauges().tasks_outstanding, 0U);
  EXPECT_EQ(driver_.CountCancelMessages(), 0U);
}

// Guards against an entry that was suspended and takes a task for lost that it
// has just dispatched to a silent agent, because its last frame to this agent
// is old. The dispatch was sent all the same, and the task ran twice (soak seed
// 713).
TEST_F(JobScheduler, KeepsDispatchMadeRightAfterASuspension) {
  auto job = scheduler_driver::MakeJob(1, "j", 2);
  job.deadline = seconds(10);
  driver_.Handle(job);
  ASSERT_EQ(driver_.TakeDispatched().size(), 2U);
  driver_.now += milliseconds(1600);
  driver_.Handle(scheduler_driver::MakeJob(2, "k", 4));
  EXPECT_EQ(driver_.TakeDispatched().size(), 4U);
  EXPECT_EQ(driver_.core->counters().tasks_lost, 2U);
}

// Guards against a late first frame of an agent process that has ended, which
// takes the place of the current process or gives up its runs. An entry that
// has restarted since does not know which one was earlier.
TEST(JobSchedulerSession, BeginsOnlyWithAnAgentThatHasHeardThisProcess) {
  scheduler_driver driver;
  driver.Configure();
  const auto send_heartbeat = [&](std::uint64_t process, incarnation heard) {
    wire::agent_run_frame frame = driver.MakeFrame(1);
    frame.agent_incarnation = incarnation{process};
    frame.entry_incarnation = heard;
    driver.SendHeartbeat(1, frame);
  };
  const incarnation self = scheduler_driver::DefaultOptions().entry_incarnation;
  driver.Handle(scheduler_driver::MakeJob(1, "j"));
  send_heartbeat(8, incarnation{});
  EXPECT_TRUE(driver.TakeDispatched().empty());
  send_heartbeat(8, self);
  EXPECT_EQ(driver.TakeDispatched().size(), 1U);
  send_heartbeat(7, incarnation{});
  EXPECT_EQ(driver.core->counters().tasks_lost, 0U);
  driver.Handle(scheduler_driver::MakeJob(2, "k"));
  EXPECT_EQ(driver.TakeDispatched().size(), 1U);
}

// Guards against a delayed frame of an agent's earlier process that is taken
// for a new session, whose `settled` gives up the runs of the current process.
TEST_F(JobScheduler, IgnoresFramesOfAnEarlierAgentProcess) {
  const auto frame_of = [&](std::uint64_t process) {
    wire::agent_run_frame frame = driver_.MakeFrame(1);
    frame.agent_incarnation = incarnation{process};
    return frame;
  };
  driver_.SendHeartbeat(1, frame_of(8));
  driver_.SendHeartbeat(2);
  driver_.Handle(scheduler_driver::MakeJob(1, "j", 6));
  const auto dispatched = driver_.TakeDispatched();
  ASSERT_TRUE(std::ranges::any_of(
      dispatched, [](const auto& task) { return task.agent == "a1"; }));
  driver_.SendHeartbeat(1, frame_of(7));
  EXPECT_TRUE(driver_.TakeDispatched().empty());
  EXPECT_EQ(driver_.core->counters().tasks_lost, 0U);
}

// Guards against creating a second job when a caller resubmits one on another
// connection.
TEST_F(JobScheduler, AttachesAResubmissionToTheExistingJob) {
  driver_.Handle(scheduler_driver::MakeJob(1, "j"));
  const auto dispatched = driver_.TakeDispatched();
  driver_.Handle(scheduler_driver::MakeJob(2, "j"));
  EXPECT_TRUE(driver_.TakeDispatched().empty());
  EXPECT_EQ(driver_.AnswerFor(1)->state, job_state::kSuperseded);
  driver_.Report(dispatched[0], wire::run_end::kDone);
  EXPECT_EQ(driver_.AnswerFor(2)->state, job_state::kCompleted);
  driver_.Handle(scheduler_driver::MakeJob(3, "j"));
  EXPECT_TRUE(driver_.TakeDispatched().empty());
  EXPECT_EQ(driver_.AnswerFor(3)->state, job_state::kCompleted);
}

// Guards against frequent heartbeats of hundreds of agents that have no runs of
// this entry: they are usable with one heartbeat a second.
TEST_F(JobScheduler, UsesAnIdleAgentWithRareHeartbeats) {
  driver_.AdvanceTime(milliseconds(1900));
  EXPECT_EQ(driver_.core->gauges().agents_usable, 2U);
  driver_.Handle(scheduler_driver::MakeJob(1, "j"));
  const auto dispatched = driver_.TakeDispatched();
  ASSERT_EQ(dispatched.size(), 1U);
  driver_.AdvanceTime(milliseconds(700));
  EXPECT_EQ(driver_.core->gauges().agents_usable, 2U);
  // With a run, the agent is silent after three heartbeat intervals.
  driver_.AdvanceTime(milliseconds(150));
  EXPECT_EQ(driver_.core->gauges().agents_usable, 0U);
}

// Guards against overlapping runs of one task: the runs of a silent agent may
// continue until lost_run_timeout has passed.
TEST_F(JobScheduler, RedispatchesAfterTheLostRunTimeoutOfASilentAgent) {
  auto job = scheduler_driver::MakeJob(1, "j");
  job.deadline = milliseconds(5000);
  driver_.Handle(job);
  const auto dispatched = driver_.TakeDispatched();
  const std::uint32_t other = dispatched[0].agent == "a1" ? 2 : 1;
  driver_.AdvanceTimeWithHeartbeats(milliseconds(1350), {other});
  EXPECT_TRUE(driver_.TakeDispatched().empty());
  driver_.AdvanceTimeWithHeartbeats(milliseconds(200), {other});
  const auto redispatched = driver_.TakeDispatched();
  ASSERT_EQ(redispatched.size(), 1U);
  EXPECT_NE(redispatched[0].agent, dispatched[0].agent);
}

// Guards against waiting for lost_run_timeout after a reconnected agent has
// reported that its earlier runs have ended, and against retrying before that.
TEST_F(JobScheduler, RedispatchesWhenANewConnectionIsSettled) {
  driver_.Handle(scheduler_driver::MakeJob(1, "j"));
  const auto dispatched = driver_.TakeDispatched();
  const std::uint32_t agent = dispatched[0].agent == "a1" ? 1 : 2;
  auto frame = driver_.MakeFrame(agent);
  frame.connection = connection_number{2};
  auto heartbeat = driver_.MakeHeartbeat();
  heartbeat.settled = false;
  frame.messages = {heartbeat};
  driver_.DeliverFrame(agent, frame);
  EXPECT_TRUE(driver_.TakeDispatched().empty());
  heartbeat.settled = true;
  frame.messages = {heartbeat};
  driver_.DeliverFrame(agent, frame);
  EXPECT_EQ(driver_.TakeDispatched().size(), 1U);
}

// Guards against using a connection on which the transport has silently lost
// frames: the link changes although the agent did not reconnect.
TEST_F(JobScheduler, RequestsANewConnectionWhenTheTransportReconnects) {
  driver_.commands.clear();
  driver_.commands_read = 0;
  auto frame = driver_.MakeFrame(1);
  frame.messages.emplace_back(driver_.MakeHeartbeat());
  driver_.Handle(agent_frame{link_id{77}, frame});
  bool reconnect_requested = false;
  for (const auto& command : driver_.commands) {
    if (const auto* send = std::get_if<send_to_agent>(&command)) {
      for (const auto& message : send->frame.messages) {
        const auto* reply = std::get_if<wire::beat_reply>(&message);
        reconnect_requested =
            reconnect_requested || (reply != nullptr && reply->reconnect);
      }
    }
  }
  EXPECT_TRUE(reconnect_requested);
}

// Guards against dispatching most tasks to a worker that fails all its runs and
// therefore always has free resources.
TEST_F(JobScheduler, EjectsAWorkerThatFailsItsRuns) {
  for (std::uint64_t caller = 1; caller <= 12; ++caller) {
    driver_.Handle(
        scheduler_driver::MakeJob(caller, "j" + std::to_string(caller)));
    for (const auto& task : driver_.TakeDispatched()) {
      driver_.Report(task, task.agent == "a1" ? wire::run_end::kFailed
                                              : wire::run_end::kDone);
    }
    for (const auto& task : driver_.TakeDispatched())
      driver_.Report(task, wire::run_end::kDone);
  }
  EXPECT_EQ(driver_.core->counters().ejections, 1U);
  driver_.Handle(scheduler_driver::MakeJob(100, "x", 4));
  for (const auto& task : driver_.TakeDispatched())
    EXPECT_EQ(task.agent, "a2");
}

// Guards against ejecting workers because of tasks that fail on every worker.
TEST_F(JobScheduler, DoesNotEjectWorkersForTasksThatFailEverywhere) {
  for (std::uint64_t caller = 1; caller <= 20; ++caller) {
    driver_.Handle(
        scheduler_driver::MakeJob(caller, "j" + std::to_string(caller)));
    for (auto dispatched = driver_.TakeDispatched(); !dispatched.empty();
         dispatched = driver_.TakeDispatched()) {
      driver_.Report(dispatched[0], wire::run_end::kFailed);
    }
  }
  EXPECT_EQ(driver_.core->counters().ejections, 0U);
}

// Guards against jobs that wait until their deadline although there are no
// workers.
TEST(JobSchedulerStartup, RefusesAJobBeforeItsDeadlineWithoutWorkers) {
  scheduler_driver driver;
  driver.Configure();
  driver.Handle(scheduler_driver::MakeJob(1, "j"));
  driver.AdvanceTime(milliseconds(100));
  ASSERT_TRUE(driver.AnswerFor(1).has_value());
  EXPECT_EQ(driver.AnswerFor(1)->state, job_state::kRefused);
}

// Guards against short tasks that wait at an agent until they are late although
// other workers are free, because the predicted resources were taken meanwhile.
TEST_F(JobScheduler, LeavesTimeToRedispatchAReturnedTask) {
  auto job = scheduler_driver::MakeJob(1, "j");
  job.steps[0].estimate = milliseconds(50);
  driver_.Handle(job);
  const auto dispatched = driver_.TakeDispatched();
  ASSERT_EQ(dispatched.size(), 1U);
  const wire::run_dispatch& dispatch = dispatched[0].dispatch;
  EXPECT_LE(2 * dispatch.queue_bound + dispatch.predicted, dispatch.target);
}

// Guards against moving a late task between agents that are all full.
TEST_F(JobScheduler, GivesALateTaskTheLargestQueueMargin) {
  driver_.Handle(scheduler_driver::MakeJob(1, "j"));
  const auto dispatched = driver_.TakeDispatched();
  driver_.AdvanceTimeWithHeartbeats(milliseconds(250), {1, 2});
  driver_.Report(dispatched[0], wire::run_end::kRefused,
                 wire::run_reason::kQueuedTooLong);
  const auto redispatched = driver_.TakeDispatched();
  ASSERT_EQ(redispatched.size(), 1U);
  EXPECT_LT(redispatched[0].dispatch.target,
            redispatched[0].dispatch.predicted);
  EXPECT_GE(redispatched[0].dispatch.queue_bound, milliseconds(100));
}

// Guards against dispatching tasks to an agent whose worker is draining.
TEST_F(JobScheduler, DispatchesNothingToADrainingAgent) {
  auto frame = driver_.MakeFrame(1);
  auto heartbeat = driver_.MakeHeartbeat();
  heartbeat.draining = true;
  frame.messages = {heartbeat};
  driver_.DeliverFrame(1, frame);
  driver_.Handle(scheduler_driver::MakeJob(1, "j", 8));
  for (const auto& task : driver_.TakeDispatched())
    EXPECT_EQ(task.agent, "a2");
}

// Guards against starting a step before the steps that it depends on are done.
TEST_F(JobScheduler, StartsAStepAfterItsDependencies) {
  auto job = scheduler_driver::MakeJob(1, "j", 2);
  job.steps.push_back(job.steps[0]);
  job.steps[1].after = {0};
  driver_.Handle(job);
  const auto first_step = driver_.TakeDispatched();
  ASSERT_EQ(first_step.size(), 2U);
  driver_.Report(first_step[0], wire::run_end::kDone);
  EXPECT_TRUE(driver_.TakeDispatched().empty());
  driver_.Report(first_step[1], wire::run_end::kDone);
  EXPECT_EQ(driver_.TakeDispatched().size(), 2U);
}

// Guards against a drain that never finishes, or that finishes before the grace
// time is over, while callers may still send jobs.
TEST_F(JobScheduler, FinishesTheDrainAfterTheGrace) {
  const auto is_drained = [this] {
    for (const auto& command : driver_.commands) {
      if (std::holds_alternative<drain_finished>(command))
        return true;
    }
    return false;
  };
  driver_.Handle(drain_requested{});
  EXPECT_FALSE(driver_.core->ready());
  driver_.Handle(scheduler_driver::MakeJob(1, "j"));
  const auto dispatched = driver_.TakeDispatched();
  ASSERT_EQ(dispatched.size(), 1U);
  driver_.Report(dispatched[0], wire::run_end::kDone);
  driver_.AdvanceTimeWithHeartbeats(milliseconds(2000), {1, 2});
  EXPECT_FALSE(is_drained());
  driver_.AdvanceTimeWithHeartbeats(milliseconds(1000), {1, 2});
  EXPECT_TRUE(is_drained());
}

// Guards against accepting a job late in a drain, so that the platform kills
// the process before the answer: a request that arrived 4.8 s after the stop
// signal was lost when the process was killed after 6 s (seen on turni-gas
// hunt-6308-19).
TEST_F(JobScheduler, AnswersEveryJobBeforeTheDrainEnds) {
  driver_.Handle(drain_requested{});
  driver_.AdvanceTimeWithHeartbeats(milliseconds(2400), {1, 2});
  auto job = scheduler_driver::MakeJob(1, "j");
  job.deadline = milliseconds(4000);
  driver_.Handle(job);
  EXPECT_EQ(driver_.TakeDispatched().size(), 1U);
  driver_.AdvanceTimeWithHeartbeats(milliseconds(800), {1, 2});
  driver_.Handle(scheduler_driver::MakeJob(2, "k"));
  EXPECT_EQ(driver_.AnswerFor(2)->state, job_state::kRefused);
  EXPECT_EQ(driver_.AnswerFor(2)->code, job_errc::kDraining);
  driver_.AdvanceTimeWithHeartbeats(milliseconds(2200), {1, 2});
  ASSERT_TRUE(driver_.AnswerFor(1).has_value());
  EXPECT_EQ(driver_.AnswerFor(1)->state, job_state::kOutcomeUnknown);
}

// Guards against answering that a job is unknown although another entry has it,
// which goes on running it: the connection of a cancellation may reach another
// entry than that of the submission.
TEST(JobSchedulerCancellation,
     SendsTheCancellationOfAnUnknownJobToTheOtherEntries) {
  scheduler_driver driver;
  driver.Configure();
  driver.Handle(members_received{{{"e1", "10.0.0.1:7"}, {"e2", "10.0.0.2:7"}}});
  driver.Handle(job_cancellation{caller_token{5}, "h", "/find/j", false});
  const auto* sent = std::get_if<cancel_at_peers>(&driver.commands.back());
  ASSERT_NE(sent, nullptr);
  EXPECT_EQ(sent->caller, caller_token{5});
  EXPECT_EQ(sent->path, "/find/j");
  // It is not sent on a second time.
  driver.Handle(job_cancellation{caller_token{6}, "h", "/find/j", true});
  const auto* answer = std::get_if<answer_job>(&driver.commands.back());
  ASSERT_NE(answer, nullptr);
  EXPECT_EQ(answer->state, job_state::kUnknown);
}

}  // namespace
}  // namespace egretrack::scheduler
