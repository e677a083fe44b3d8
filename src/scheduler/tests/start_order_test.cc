#include "scheduler/start_order.h"

#include <tuple>
#include <vector>

#include <gtest/gtest.h>

#include "scheduler/tests/scheduler_driver.h"
#include "scheduler/tests/supervisor_driver.h"

namespace egretrack::scheduler {
namespace {

constexpr monotonic_time kStart{seconds(100)};

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

// Guards against waiting jobs that are dispatched in the order of their numbers
// when workers appear, and fill them before one whose target is earlier.
TEST(StartOrderOfScheduler, DispatchesWaitingJobsByTarget) {
  scheduler_driver driver;
  driver.Configure();
  auto longer = scheduler_driver::MakeJob(1, "longer");
  longer.steps.front().estimate = milliseconds(400);
  driver.Handle(longer);
  driver.Handle(scheduler_driver::MakeJob(2, "shorter"));
  EXPECT_TRUE(driver.TakeDispatched().empty());
  driver.SendHeartbeat(1);
  const auto dispatched = driver.TakeDispatched();
  ASSERT_EQ(dispatched.size(), 2U);
  EXPECT_EQ(dispatched[0].dispatch.job_key, "shorter");
}

}  // namespace
}  // namespace egretrack::scheduler
