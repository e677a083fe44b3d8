// What an entry does when the worker of an agent is replaced while dispatches
// for it are under way.
#include <gtest/gtest.h>

#include "scheduler/tests/scheduler_driver.h"

namespace egretrack::scheduler {
namespace {

class WorkerChange : public testing::Test {
 protected:
  void SetUp() override {
    driver_.Configure();
    Heartbeat(1, "a", 7);
  }

  void Heartbeat(std::uint32_t agent,
                 const char* label,
                 std::uint64_t revision) {
    driver_.DeliverFrame(agent, FrameWith(agent, label, revision));
  }

  // The agent returns the task and describes its worker in the same frame.
  void Return(const dispatched_task& task,
              const char* label,
              std::uint64_t revision) {
    wire::run_report report;
    report.job = task.dispatch.job;
    report.task = task.dispatch.task;
    report.attempt = task.dispatch.attempt;
    report.end = wire::run_end::kRefused;
    report.reason = wire::run_reason::kWorkerChanged;
    auto frame = FrameWith(1, label, revision);
    frame.messages.insert(frame.messages.begin(), report);
    driver_.DeliverFrame(1, std::move(frame));
  }

  void Submit() {
    auto job = scheduler_driver::MakeJob(1, "j");
    job.steps[0].required_label = "a";
    driver_.Handle(job);
  }

  scheduler_driver driver_;

 private:
  wire::agent_run_frame FrameWith(std::uint32_t agent,
                                  const char* label,
                                  std::uint64_t revision) {
    auto frame = driver_.MakeFrame(agent);
    auto heartbeat = driver_.MakeHeartbeat();
    heartbeat.worker[0].labels = {label, "r1"};
    heartbeat.worker[0].revision = revision;
    frame.messages.emplace_back(heartbeat);
    return frame;
  }
};

// Guards against a dispatch that does not say which worker it is meant for
// (review, case 14).
TEST_F(WorkerChange, DispatchNamesTheChosenWorker) {
  Submit();
  const auto dispatched = driver_.TakeDispatched();
  ASSERT_EQ(dispatched.size(), 1U);
  EXPECT_EQ(dispatched[0].dispatch.worker_revision, 7U);
}

// Guards against a task that waits, or is sent back to a worker that cannot run
// it, after its worker was replaced.
TEST_F(WorkerChange, PlacesTheTaskAnewAtOnce) {
  Submit();
  const auto first = driver_.TakeDispatched();
  ASSERT_EQ(first.size(), 1U);
  Heartbeat(2, "a", 9);
  Return(first[0], "b", 8);
  const auto second = driver_.TakeDispatched();
  ASSERT_EQ(second.size(), 1U);
  EXPECT_EQ(second[0].agent, "a2");
  EXPECT_EQ(driver_.core->counters().ejections, 0U);
}

// Guards against avoiding the agent, whose new worker has refused nothing.
TEST_F(WorkerChange, NewWorkerOfTheAgentMayRunTheTask) {
  Submit();
  const auto first = driver_.TakeDispatched();
  ASSERT_EQ(first.size(), 1U);
  Return(first[0], "a", 8);
  const auto second = driver_.TakeDispatched();
  ASSERT_EQ(second.size(), 1U);
  EXPECT_EQ(second[0].agent, "a1");
  EXPECT_EQ(second[0].dispatch.worker_revision, 8U);
}

}  // namespace
}  // namespace egretrack::scheduler
