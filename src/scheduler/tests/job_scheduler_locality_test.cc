#include <algorithm>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "scheduler/tests/scheduler_driver.h"

namespace egretrack::scheduler {
namespace {

// Agents 1 and 2 have the label "r1" and agents 3 and 4 the label "r2".
class JobSchedulerLocality : public testing::Test {
 protected:
  static scheduler_options Options(double far_run_time_factor) {
    auto options = scheduler_driver::DefaultOptions();
    options.far_run_time_factor = far_run_time_factor;
    return options;
  }

  void SetUp() override {
    driver_.Configure();
    for (std::uint32_t agent = 1; agent <= 4; ++agent)
      SendLoad(agent, 10);
  }

  // Sends a heartbeat of an agent with `free` places for tasks.
  void SendLoad(std::uint32_t agent,
                int free,
                milliseconds wait = milliseconds(0),
                bool draining = false) {
    auto frame = driver_.MakeFrame(agent);
    frame.load.free = {1600 * free, 32768, 0};
    frame.load.wait = wait;
    auto heartbeat = driver_.MakeHeartbeat();
    heartbeat.worker.front().labels = {"a", agent <= 2 ? "r1" : "r2"};
    heartbeat.draining = draining;
    frame.messages.emplace_back(heartbeat);
    driver_.DeliverFrame(agent, std::move(frame));
  }

  void FillRack(milliseconds wait) {
    SendLoad(1, 0, wait);
    SendLoad(2, 0, wait);
  }

  std::vector<dispatched_task> Submit(
      const std::string& label,
      std::uint32_t tasks = 1,
      milliseconds deadline = milliseconds(1500)) {
    ++jobs_;
    auto job =
        scheduler_driver::MakeJob(jobs_, "j" + std::to_string(jobs_), tasks);
    job.deadline = deadline;
    job.steps.front().affinity_label = label;
    driver_.Handle(std::move(job));
    return driver_.TakeDispatched();
  }

  static bool IsNear(const dispatched_task& task) {
    return task.agent == "a1" || task.agent == "a2";
  }
  static auto CountNear(const std::vector<dispatched_task>& tasks) {
    return std::ranges::count_if(tasks, &JobSchedulerLocality::IsNear);
  }

  void Report(const dispatched_task& task,
              wire::run_end end,
              microseconds ran,
              microseconds queued = microseconds(0),
              wire::run_reason reason = wire::run_reason::kNone) {
    wire::run_report report;
    report.job = task.dispatch.job;
    report.task = task.dispatch.task;
    report.attempt = task.dispatch.attempt;
    report.end = end;
    report.reason = reason;
    report.ran = ran;
    report.queued = queued;
    const auto agent =
        static_cast<std::uint32_t>(std::stoul(task.agent.substr(1)));
    auto frame = driver_.MakeFrame(agent);
    frame.load.free = end == wire::run_end::kRefused
                          ? resources{0, 32768, 0}
                          : resources{16000, 32768, 0};
    frame.load.wait =
        end == wire::run_end::kRefused ? milliseconds(10) : milliseconds(0);
    frame.messages.emplace_back(report);
    driver_.DeliverFrame(agent, std::move(frame));
  }

  const locality_counters& Counters() const {
    return driver_.core->locality().at("find");
  }

  scheduler_driver driver_{Options(3)};
  std::uint64_t jobs_ = 0;
};

// Guards against a far start at a cold start, without learned run times.
TEST_F(JobSchedulerLocality, StartsNearWithoutEstimates) {
  const auto dispatched = Submit("r1", 4);
  ASSERT_EQ(dispatched.size(), 4U);
  EXPECT_EQ(CountNear(dispatched), 4);
  EXPECT_EQ(Counters().near_dispatches, 4U);
}

// Guards against a far start where a short wait near ends earlier, and against
// a queue bound that returns the task before its wait has stopped to pay.
TEST_F(JobSchedulerLocality, WaitsForAFullRack) {
  FillRack(milliseconds(10));
  const auto dispatched = Submit("r1");
  ASSERT_EQ(dispatched.size(), 1U);
  EXPECT_TRUE(IsNear(dispatched[0]));
  EXPECT_GT(dispatched[0].dispatch.queue_bound, milliseconds(50));
  EXPECT_LE(dispatched[0].dispatch.queue_bound, milliseconds(200));
  EXPECT_EQ(Counters().near_waits, 1U);
  EXPECT_GT(Counters().predicted_gain, microseconds(0));
}

// Guards against a rack with a queue that keeps all tasks of its label, and
// against one that loses all of them at once.
TEST_F(JobSchedulerLocality, SpillsAPartOfAHotLabel) {
  FillRack(milliseconds(50));
  const auto dispatched = Submit("r1", 12);
  ASSERT_EQ(dispatched.size(), 12U);
  EXPECT_GT(CountNear(dispatched), 0);
  EXPECT_LT(CountNear(dispatched), 12);
}

// Guards against a wait in the queue of a rack that is full for longer than the
// far run takes.
TEST_F(JobSchedulerLocality, LeavesARackWithALongQueue) {
  FillRack(milliseconds(400));
  const auto dispatched = Submit("r1");
  ASSERT_EQ(dispatched.size(), 1U);
  EXPECT_FALSE(IsNear(dispatched[0]));
  EXPECT_EQ(Counters().far_dispatches, 1U);
}

// Guards against a worker that is taken for free because the wait that it
// reports is that of a smaller task.
TEST_F(JobSchedulerLocality, PredictsAWaitWhereTheTaskDoesNotFit) {
  for (const std::uint32_t agent : {1U, 2U}) {
    auto frame = driver_.MakeFrame(agent);
    frame.load.free = {1500, 32768, 0};
    driver_.DeliverFrame(agent, std::move(frame));
  }
  Submit("r1");
  EXPECT_EQ(Counters().near_waits, 1U);
}

// Guards against a second wait in the rack after one that was in vain.
TEST_F(JobSchedulerLocality, GoesFarAfterAWaitInVain) {
  FillRack(milliseconds(10));
  const auto first = Submit("r1");
  ASSERT_EQ(CountNear(first), 1);
  const microseconds bound = first[0].dispatch.queue_bound;
  driver_.AdvanceTime(bound);
  FillRack(milliseconds(10));
  Report(first[0], wire::run_end::kRefused, {}, bound,
         wire::run_reason::kQueuedTooLong);
  const auto second = driver_.TakeDispatched();
  ASSERT_EQ(second.size(), 1U);
  EXPECT_FALSE(IsNear(second[0]));
  EXPECT_EQ(Counters().near_returns, 1U);
  EXPECT_LT(Counters().measured_gain, microseconds(0));
}

// Guards against a wait that goes on although the worker that was waited for
// has returned the task before the bound.
TEST_F(JobSchedulerLocality, GoesFarWhenTheRackIsLostDuringTheWait) {
  SendLoad(1, 0, milliseconds(10));
  SendLoad(2, 0, milliseconds(10), true);
  const auto first = Submit("r1");
  ASSERT_EQ(first.size(), 1U);
  ASSERT_EQ(first[0].agent, "a1");
  SendLoad(1, 0, milliseconds(10), true);
  Report(first[0], wire::run_end::kRefused, {}, milliseconds(5),
         wire::run_reason::kDraining);
  const auto second = driver_.TakeDispatched();
  ASSERT_EQ(second.size(), 1U);
  EXPECT_FALSE(IsNear(second[0]));
}

// Guards against a wait for another worker of the rack that begins anew after
// one worker of it was lost.
TEST_F(JobSchedulerLocality, WaitsOnForAnotherWorkerOfTheRack) {
  FillRack(milliseconds(10));
  const auto first = Submit("r1");
  ASSERT_EQ(CountNear(first), 1);
  Report(first[0], wire::run_end::kRefused, {}, milliseconds(5),
         wire::run_reason::kNoWorker);
  const auto second = driver_.TakeDispatched();
  ASSERT_EQ(second.size(), 1U);
  EXPECT_TRUE(IsNear(second[0]));
  EXPECT_NE(second[0].agent, first[0].agent);
  EXPECT_LE(second[0].dispatch.queue_bound, milliseconds(195));
}

// Guards against a wait for a worker whose agent is silent: a new task goes far
// at once, a waiting one with the proof that it does not run.
TEST_F(JobSchedulerLocality, GoesFarWhenTheRackIsSilent) {
  SendLoad(1, 0, milliseconds(10));
  SendLoad(2, 0, milliseconds(10), true);
  const auto first = Submit("r1", 1, milliseconds(3000));
  ASSERT_EQ(first.size(), 1U);
  ASSERT_EQ(first[0].agent, "a1");
  const auto advance = [this](milliseconds time) {
    for (milliseconds elapsed{0}; elapsed < time; elapsed += milliseconds(50)) {
      driver_.AdvanceTime(milliseconds(50));
      SendLoad(3, 10);
      SendLoad(4, 10);
    }
  };
  advance(milliseconds(900));
  EXPECT_TRUE(driver_.TakeDispatched().empty());
  const auto later = Submit("r1");
  ASSERT_EQ(later.size(), 1U);
  EXPECT_FALSE(IsNear(later[0]));
  advance(milliseconds(600));
  const auto second = driver_.TakeDispatched();
  ASSERT_EQ(second.size(), 1U);
  EXPECT_EQ(second[0].dispatch.job, first[0].dispatch.job);
  EXPECT_FALSE(IsNear(second[0]));
}

// Guards against a wait for an ejected worker.
TEST_F(JobSchedulerLocality, GoesFarWhenTheRackIsEjected) {
  SendLoad(2, 10, milliseconds(0), true);
  for (int failure = 0; failure < 20; ++failure) {
    const auto dispatched = Submit("r1");
    ASSERT_EQ(dispatched.size(), 1U);
    if (dispatched[0].agent != "a1")
      break;
    Report(dispatched[0], wire::run_end::kFailed, milliseconds(1));
    driver_.TakeDispatched();
  }
  ASSERT_EQ(driver_.core->counters().ejections, 1U);
  const auto later = Submit("r1");
  ASSERT_EQ(later.size(), 1U);
  EXPECT_FALSE(IsNear(later[0]));
}

// Guards against a far start of a task that can only end in time near its data.
TEST_F(JobSchedulerLocality, WaitsWhenTheDeadlineIsTooNearForAFarStart) {
  FillRack(milliseconds(120));
  const auto dispatched = Submit("r1", 1, milliseconds(240));
  ASSERT_EQ(dispatched.size(), 1U);
  EXPECT_TRUE(IsNear(dispatched[0]));
  EXPECT_GT(dispatched[0].dispatch.queue_bound, milliseconds(120));
}

// Guards against a far start after its start limit, which the agent refuses and
// which ends the job, because the only near worker has returned the task.
TEST_F(JobSchedulerLocality, ReturnsToTheOnlyNearWorkerWhenFarIsTooLate) {
  SendLoad(2, 0, milliseconds(10), true);
  const auto first = Submit("r1", 1, milliseconds(140));
  ASSERT_EQ(first.size(), 1U);
  ASSERT_EQ(first[0].agent, "a1");
  driver_.AdvanceTime(milliseconds(10));
  Report(first[0], wire::run_end::kRefused, {}, milliseconds(10),
         wire::run_reason::kQueuedTooLong);
  const auto second = driver_.TakeDispatched();
  ASSERT_EQ(second.size(), 1U);
  EXPECT_EQ(second[0].agent, "a1");
}

// Guards against far runs that make a worker, its class or the kind look slow.
TEST_F(JobSchedulerLocality, KeepsFarRunsOutOfTheRunTimeModel) {
  const auto before = Submit("");
  ASSERT_EQ(before.size(), 1U);
  const microseconds usual = before[0].dispatch.predicted;
  Report(before[0], wire::run_end::kDone, usual);
  FillRack(milliseconds(400));
  for (int run = 0; run < 30; ++run) {
    const auto far = Submit("r1");
    ASSERT_EQ(far.size(), 1U);
    ASSERT_FALSE(IsNear(far[0]));
    Report(far[0], wire::run_end::kDone, milliseconds(300));
  }
  EXPECT_EQ(Counters().far_runs, 30U);
  const auto after = Submit("");
  ASSERT_EQ(after.size(), 1U);
  ASSERT_FALSE(IsNear(after[0]));
  EXPECT_EQ(after[0].dispatch.predicted, usual);
}

// Guards against a wrong setting that keeps tasks from near workers, or keeps
// them there, for good.
TEST_F(JobSchedulerLocality, ReplacesAWrongSetting) {
  FillRack(milliseconds(400));
  for (int run = 0; run < 40; ++run) {
    const auto far = Submit("r1");
    ASSERT_EQ(far.size(), 1U);
    ASSERT_FALSE(IsNear(far[0]));
    Report(far[0], wire::run_end::kDone, milliseconds(120));
  }
  // By the setting, a wait of 30 ms pays; as learned, it does not.
  FillRack(milliseconds(30));
  const auto dispatched = Submit("r1");
  ASSERT_EQ(dispatched.size(), 1U);
  EXPECT_FALSE(IsNear(dispatched[0]));
  EXPECT_LT(dispatched[0].dispatch.predicted, milliseconds(150));
}

// Guards against a wait that is learned as a part of the run time when the job
// ends during the wait.
TEST_F(JobSchedulerLocality, DoesNotLearnWaitsAsRunTimes) {
  const auto before = Submit("");
  const microseconds usual = before.at(0).dispatch.predicted;
  Report(before[0], wire::run_end::kDone, usual);
  FillRack(milliseconds(30));
  for (int job = 0; job < 10; ++job) {
    const auto waiting = Submit("r1");
    ASSERT_EQ(waiting.size(), 1U);
    if (!IsNear(waiting[0]))
      continue;
    driver_.AdvanceTime(milliseconds(150));
    driver_.Handle(caller_disconnected{caller_token{jobs_}});
    for (const std::uint32_t agent : {3U, 4U})
      SendLoad(agent, 10);
    FillRack(milliseconds(30));
  }
  SendLoad(1, 10);
  const auto after = Submit("r1");
  ASSERT_EQ(after.size(), 1U);
  EXPECT_EQ(after[0].dispatch.predicted, usual);
}

// Guards against a change of the placement of tasks without a label.
TEST_F(JobSchedulerLocality, LeavesTasksWithoutALabelAlone) {
  const auto dispatched = Submit("", 1);
  ASSERT_EQ(dispatched.size(), 1U);
  EXPECT_TRUE(driver_.core->locality().empty());
  // A sixteenth of the slack until the target of 220 ms.
  EXPECT_EQ(dispatched[0].dispatch.queue_bound, microseconds(7500));
}

// Guards against log lines that do not tell why a task went where it did.
TEST_F(JobSchedulerLocality, LogsTheDecision) {
  FillRack(milliseconds(10));
  Submit("r1");
  std::string logged;
  for (const scheduler_command& command : driver_.commands) {
    const auto* record = std::get_if<decision_record>(&command);
    if (record == nullptr || record->kind != decision_kind::kTaskDispatched)
      continue;
    for (const event_field& field : record->fields) {
      if (field.key == "locality")
        logged = std::get<std::string>(field.value);
    }
  }
  EXPECT_EQ(logged, "near_wait");
}

}  // namespace
}  // namespace egretrack::scheduler
