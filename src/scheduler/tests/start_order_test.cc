#include "scheduler/start_order.h"

#include <algorithm>
#include <string>
#include <tuple>
#include <vector>

#include <gtest/gtest.h>

#include "scheduler/tests/agent_replay.h"
#include "scheduler/tests/scheduler_driver.h"
#include "scheduler/tests/supervisor_driver.h"

namespace egretrack::scheduler {
namespace {

constexpr monotonic_time kStart{seconds(100)};

job_standing MakeStanding(milliseconds accepted,
                          milliseconds target,
                          std::uint32_t priority = 0) {
  return {.accepted_at = kStart + accepted,
          .target = kStart + accepted + target,
          .priority = priority,
          .work = milliseconds(800)};
}

// Guards against kinds of equal priority that are ordered otherwise than by
// their targets, with which the limits of today's load were met.
TEST(StartOrder, KeepsTheOrderOfTargetsWithEqualPriority) {
  start_order order;
  for (const std::uint32_t priority : {0U, 1U, 7U}) {
    order.Observe(priority, milliseconds(60 + 100 * priority));
    for (int gap = -1600; gap <= 1600; gap += 7) {
      const auto a =
          MakeStanding(milliseconds(0), milliseconds(1500), priority);
      const auto b =
          MakeStanding(milliseconds(gap), milliseconds(156), priority);
      EXPECT_EQ(order.VirtualDeadline(a) < order.VirtualDeadline(b),
                a.target < b.target);
    }
  }
}

// Guards against starts in another order than before when nothing moves the
// virtual deadline, as with dispatches of an earlier release.
TEST(StartOrder, KeepsTheStartsWithoutMovedDeadlines) {
  const monotonic_time now = kStart + milliseconds(200);
  std::vector<queued_task> tasks;
  for (int index = 0; index < 60; ++index) {
    queued_task task;
    task.target = kStart + milliseconds((index * 137) % 500);
    task.virtual_deadline = task.target;
    task.start_by = kStart + milliseconds(900 + (index * 61) % 400);
    task.received = kStart + milliseconds(index % 5);
    task.predicted = milliseconds(60);
    tasks.push_back(task);
  }
  const auto earlier_key = [now](const queued_task& task) {
    const bool late = now + task.predicted > task.target;
    return std::tuple(late, late ? task.start_by : task.target, task.received);
  };
  for (const queued_task& a : tasks) {
    for (const queued_task& b : tasks) {
      EXPECT_EQ(MakeStartKey(a, now) < MakeStartKey(b, now),
                earlier_key(a) < earlier_key(b));
    }
  }
}

// Guards against a priority that has no effect on jobs of the same length, and
// against one for which they starve.
TEST(StartOrder, MovesLowerPrioritiesBackByABoundedTime) {
  start_order order;
  monotonic_time last{};
  for (const std::uint32_t priority : {0U, 1U, 2U, 3U, 1000U}) {
    order.Observe(priority, milliseconds(200));
    const auto deadline = order.VirtualDeadline(
        MakeStanding(milliseconds(0), milliseconds(380), priority));
    EXPECT_GT(deadline, last);
    last = deadline;
  }
  EXPECT_LE(last, kStart + milliseconds(420));
}

// Guards against long jobs of a low priority that wait for all short ones that
// arrive before their target, until they cannot end by it.
TEST(StartOrder, ComparesPrioritiesByTheLatestStart) {
  start_order order;
  order.Observe(0, milliseconds(60));
  order.Observe(2, milliseconds(900));
  const auto old_long = MakeStanding(milliseconds(0), milliseconds(1500), 2);
  const auto deadline = order.VirtualDeadline(old_long);
  EXPECT_GT(deadline, order.VirtualDeadline(
                          MakeStanding(milliseconds(400), milliseconds(156))));
  EXPECT_LT(deadline, order.VirtualDeadline(
                          MakeStanding(milliseconds(550), milliseconds(156))));
}

// Guards against new jobs that begin while a job waits of which a part has run.
TEST(StartOrder, EndsABegunJobBeforeANewOne) {
  start_order order;
  order.Observe(0, milliseconds(60));
  order.Observe(2, milliseconds(900));
  job_standing begun = MakeStanding(milliseconds(0), milliseconds(1500), 2);
  begun.done_work = milliseconds(200);
  for (const std::uint32_t priority : {0U, 2U}) {
    const milliseconds target(priority == 0 ? 156 : 1500);
    EXPECT_LT(
        order.VirtualDeadline(begun),
        order.VirtualDeadline(MakeStanding(milliseconds(0), target, priority)));
  }
  job_standing further = begun;
  further.done_work = milliseconds(600);
  EXPECT_LT(order.VirtualDeadline(further), order.VirtualDeadline(begun));
}

// ---- Replays at an agent --------------------------------------------------

// The worker runs 150 tasks of 60 ms a second. Guards against agents that
// ignore the virtual deadline, and against a low priority that gets nothing.
TEST(StartOrderReplay, GivesThePeakToTheHighestPriority) {
  const auto results = agent_replay().Play(
      {{.per_second = 120, .priority = 2}, {.per_second = 120}}, seconds(4));
  EXPECT_GT(results[1].OnTimeShare(), 0.75);
  EXPECT_GT(results[1].OnTimeShare(), 1.5 * results[0].OnTimeShare());
  EXPECT_GT(results[0].OnTimeShare(), 0.25);
}

// Replays 20 s of 1.6 times the resources with the kinds of deployment A, for
// which every task is judged. Guards against a kind that starves: in the order
// of targets 4 % of the long jobs were on time.
TEST(StartOrderReplay, StarvesNoKindAtAPeak) {
  const auto results = agent_replay().Play({{.per_second = 60},
                                            {.per_second = 36,
                                             .run = milliseconds(200),
                                             .target = milliseconds(380),
                                             .priority = 1},
                                            {.per_second = 4,
                                             .run = milliseconds(900),
                                             .target = milliseconds(1500),
                                             .priority = 2}},
                                           seconds(20));
  for (const stream_result& result : results) {
    EXPECT_GT(result.OnTimeShare(), 0.25);
  }
  EXPECT_GT(results[0].OnTimeShare(), results[1].OnTimeShare());
  EXPECT_GT(results[1].OnTimeShare(), results[2].OnTimeShare());
}

// Guards against an agent that ignores the virtual deadline of a dispatch.
TEST(StartOrderOfSupervisor, StartsByTheVirtualDeadline) {
  supervisor_driver driver;
  driver.ConnectIdleWorker();
  auto frame = driver.MakeFrame(0);
  for (std::uint32_t task = 0; task < 3; ++task) {
    wire::run_dispatch dispatch;
    dispatch.job = 1;
    dispatch.task = task;
    dispatch.attempt = 1;
    dispatch.job_key = "j";
    dispatch.index = task;
    dispatch.need = {1600, 64, 0};
    dispatch.predicted = milliseconds(100);
    dispatch.start_by = driver.EntryNow() + seconds(1);
    dispatch.target = milliseconds(300 + 10 * task);
    dispatch.virtual_deadline = milliseconds(300 - 10 * task);
    dispatch.queue_bound = milliseconds(400);
    frame.messages.emplace_back(dispatch);
  }
  driver.Handle(entry_frame{0, frame});
  const auto starts = driver.Commands<start_run>();
  ASSERT_EQ(starts.size(), 3U);
  EXPECT_EQ(starts[0].id.index, 2U);
  EXPECT_EQ(starts[1].id.index, 1U);
  EXPECT_EQ(starts[2].id.index, 0U);
}

// ---- At the entry ---------------------------------------------------------

// Two kinds, "/find/" of priority 2 and "/urgent/" of priority 0.
objects::configuration_ptr MakeTwoKinds() {
  objects::configuration two = *scheduler_driver::MakeConfiguration(1);
  two.objects.kinds.front().priority = 2;
  objects::request_kind urgent = two.objects.kinds.front();
  urgent.name = "urgent";
  urgent.path_prefix = "/urgent/";
  urgent.priority = 0;
  two.objects.kinds.push_back(urgent);
  return std::make_shared<const objects::configuration>(two);
}

// Guards against an entry that sends tasks without their virtual deadline.
TEST(StartOrderOfScheduler, SendsTheVirtualDeadline) {
  scheduler_driver driver;
  driver.Handle(configuration_received{MakeTwoKinds()});
  driver.SendHeartbeat(1);
  driver.SendHeartbeat(2);
  auto urgent = scheduler_driver::MakeJob(1, "u");
  urgent.path = "/urgent/u";
  driver.Handle(urgent);
  const auto first = driver.TakeDispatched();
  ASSERT_EQ(first.size(), 1U);
  EXPECT_EQ(first[0].dispatch.virtual_deadline, first[0].dispatch.target);
  driver.Handle(scheduler_driver::MakeJob(2, "j", 2));
  const auto second = driver.TakeDispatched();
  ASSERT_EQ(second.size(), 2U);
  EXPECT_EQ(second[0].dispatch.virtual_deadline,
            second[0].dispatch.target + microseconds(30020));
  // The second task of the begun job comes before any new job.
  driver.Report(second[0], wire::run_end::kDone);
  driver.Report(second[1], wire::run_end::kRefused,
                wire::run_reason::kQueuedTooLong);
  const auto third = driver.TakeDispatched();
  ASSERT_EQ(third.size(), 1U);
  EXPECT_LT(third[0].dispatch.virtual_deadline, microseconds(0));
}

// Guards against waiting jobs that are dispatched in the order of their
// numbers when workers appear, and fill them before an urgent one.
TEST(StartOrderOfScheduler, DispatchesWaitingJobsByVirtualDeadline) {
  scheduler_driver driver;
  driver.Handle(configuration_received{MakeTwoKinds()});
  driver.Handle(scheduler_driver::MakeJob(1, "j"));
  driver.AdvanceTime(milliseconds(10));
  auto urgent = scheduler_driver::MakeJob(2, "u");
  urgent.path = "/urgent/u";
  driver.Handle(urgent);
  EXPECT_TRUE(driver.TakeDispatched().empty());
  driver.SendHeartbeat(1);
  const auto dispatched = driver.TakeDispatched();
  ASSERT_EQ(dispatched.size(), 2U);
  EXPECT_EQ(dispatched[0].dispatch.job_key, "u");
}

// Guards against one caller whose estimate moves all jobs of a priority, and
// against a lower priority that is moved back for having shorter jobs.
TEST(StartOrder, BoundsWhatOneEstimateMoves) {
  start_order order;
  for (int job = 0; job < 300; ++job) {
    order.Observe(0, milliseconds(60));
    order.Observe(2, milliseconds(60));
  }
  const auto standing = MakeStanding(milliseconds(0), milliseconds(1500), 2);
  const auto before = order.VirtualDeadline(standing);
  order.Observe(2, seconds(1000));
  EXPECT_LE(before - order.VirtualDeadline(standing), milliseconds(5));
  for (int job = 0; job < 300; ++job)
    order.Observe(0, seconds(10));
  EXPECT_LE(order.VirtualDeadline(standing), before + milliseconds(5));
}

}  // namespace
}  // namespace egretrack::scheduler
