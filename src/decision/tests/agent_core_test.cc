#include "egretrack/decision/agent_core.h"

#include <gtest/gtest.h>

#include "decision/tests/agent_driver.h"

namespace egretrack::decision {
namespace {

using wire::task_reason;
using wire::task_state;

// An agent with an endpoint and established connections to both entries.
class AgentCore : public testing::Test {
 protected:
  AgentCore() { Connect(); }

  void Connect() {
    agent.AnnounceEndpoint();
    agent.ReplyToHeartbeat(0);
    agent.ReplyToHeartbeat(1);
  }

  std::size_t Starts() const { return agent.Commands<start_task>().size(); }

  agent_driver agent{agent_driver::Options()};
};

// Guards against a task that starts twice because its dispatch arrived twice.
TEST_F(AgentCore, DuplicateDispatchIsAnsweredFromRecord) {
  const auto dispatch = agent.MakeDispatch(0, 1);
  agent.Deliver(0, dispatch);
  agent.Deliver(0, dispatch);
  EXPECT_EQ(agent.LastSent<wire::task_report>(0).state, task_state::kStarted);
  agent.EndTask(dispatch.job);
  agent.Deliver(0, dispatch);
  const auto reports = agent.Sent<wire::task_report>(0);
  ASSERT_EQ(reports.size(), 3U);
  EXPECT_EQ(reports[1].result, "result");
  EXPECT_EQ(reports[2].state, task_state::kFinished);
  EXPECT_EQ(reports[2].result, "result");
  EXPECT_EQ(Starts(), 1U);
  EXPECT_EQ(agent.core->counters().duplicates, 2U);
}

// Guards against a task that starts after its home entry was told that it will
// not start.
TEST_F(AgentCore, QueryWithoutRecordFencesTask) {
  const auto dispatch = agent.MakeDispatch(0, 1);
  agent.Deliver(0, wire::task_query{dispatch.job, 0, 10, dispatch_number{1}});
  EXPECT_EQ(agent.LastSent<wire::task_report>(0).reason, task_reason::kFenced);
  agent.Deliver(0, dispatch);
  EXPECT_EQ(agent.LastSent<wire::task_report>(0).state, task_state::kRefused);
  EXPECT_EQ(Starts(), 0U);
}

// Guards against a held task that starts after its home entry was told that it
// will not start.
TEST_F(AgentCore, QueryOfHeldTaskFencesIt) {
  const auto first = agent.MakeDispatch(0, 1);
  const auto held = agent.MakeDispatch(1, 3);
  agent.Deliver(0, first);
  agent.Deliver(0, agent.MakeDispatch(0, 2));
  agent.Deliver(1, held);
  ASSERT_EQ(agent.Status().tasks_held, 1U);
  agent.Deliver(1, wire::task_query{held.job, 0, 10, dispatch_number{1}});
  EXPECT_EQ(agent.LastSent<wire::task_report>(1).reason, task_reason::kFenced);
  agent.EndTask(first.job);
  agent.Deliver(1, held);
  EXPECT_EQ(agent.LastSent<wire::task_report>(1).state, task_state::kRefused);
  EXPECT_EQ(Starts(), 2U);
}

// Guards against an agent that never accepts a refused task again, and against
// a late duplicate of the refused dispatch that starts the task a second time.
TEST_F(AgentCore, RedispatchedTaskStartsOnce) {
  auto dispatch = agent.MakeDispatch(0, 1);
  agent.Deliver(0, wire::task_query{dispatch.job, 0, 10, dispatch_number{1}});
  const auto first = dispatch;
  dispatch.number = dispatch_number{2};
  agent.Deliver(0, dispatch);
  EXPECT_EQ(Starts(), 1U);
  agent.Deliver(0, first);
  agent.Deliver(0, dispatch);
  agent.EndTask(dispatch.job);
  agent.Deliver(0, first);
  EXPECT_EQ(agent.LastSent<wire::task_report>(0).state, task_state::kFinished);
  EXPECT_EQ(Starts(), 1U);
}

// Guards against a task that starts after a query for a later dispatch was
// answered with a refusal, because only the earlier dispatch was fenced.
TEST_F(AgentCore, QueryOfLaterDispatchFencesIt) {
  auto dispatch = agent.MakeDispatch(0, 1);
  agent.Deliver(0, wire::task_query{dispatch.job, 0, 10, dispatch_number{1}});
  agent.Deliver(0, wire::task_query{dispatch.job, 0, 10, dispatch_number{2}});
  EXPECT_EQ(agent.LastSent<wire::task_report>(0).state, task_state::kRefused);
  EXPECT_EQ(agent.LastSent<wire::task_report>(0).dispatch, dispatch_number{2});
  dispatch.number = dispatch_number{2};
  agent.Deliver(0, dispatch);
  EXPECT_EQ(Starts(), 0U);
  agent.AdvanceTime(agent_driver::Options().retention + seconds(1));
  EXPECT_EQ(agent.Status().records, 0U);
}

// Guards against the expiry of a refusal that removes the record of the later
// start.
TEST_F(AgentCore, ExpiryOfRefusalKeepsRecordOfLaterStart) {
  auto dispatch = agent.MakeDispatch(0, 1);
  agent.Deliver(0, wire::task_query{dispatch.job, 0, 10, dispatch_number{1}});
  dispatch.number = dispatch_number{2};
  agent.Deliver(0, dispatch);
  agent.AdvanceTime(agent_driver::Options().retention + seconds(1));
  EXPECT_EQ(agent.Status().records, 1U);
}

// Guards against a lookup by another entry that fences the home entry's tasks.
TEST_F(AgentCore, LookupDoesNotFenceTask) {
  const auto dispatch = agent.MakeDispatch(0, 1);
  agent.Deliver(1, wire::job_lookup{5, dispatch.job});
  EXPECT_TRUE(agent.LastSent<wire::job_records>(1).records.empty());
  agent.Deliver(0, dispatch);
  EXPECT_EQ(Starts(), 1U);
  agent.Deliver(1, wire::job_lookup{6, dispatch.job});
  const auto found = agent.LastSent<wire::job_records>(1);
  ASSERT_EQ(found.records.size(), 1U);
  EXPECT_EQ(found.records[0].state, task_state::kStarted);
}

// Guards against a delayed packet or a paused agent that starts a task after
// its job was answered.
TEST_F(AgentCore, DispatchPastStartByIsRefused) {
  const auto dispatch = agent.MakeDispatch(0, 1);
  agent.now += milliseconds(1999);
  agent.Deliver(0, dispatch);
  EXPECT_EQ(agent.LastSent<wire::task_report>(0).reason,
            task_reason::kStartByPassed);
  EXPECT_EQ(Starts(), 0U);
}

// Guards against a start limit that is checked only when the task arrives, and
// not again when it leaves the queue.
TEST_F(AgentCore, HeldTaskPastStartByIsRefused) {
  const auto first = agent.MakeDispatch(0, 1);
  agent.Deliver(0, first);
  agent.Deliver(0, agent.MakeDispatch(0, 2));
  agent.Deliver(1, agent.MakeDispatch(1, 3));
  EXPECT_EQ(agent.Status().tasks_held, 1U);
  agent.now += seconds(2);
  agent.EndTask(first.job);
  EXPECT_EQ(Starts(), 2U);
  EXPECT_EQ(agent.LastSent<wire::task_report>(1).reason,
            task_reason::kStartByPassed);
}

// Guards against a late reply, or one of another incarnation, that makes the
// home entry's clock appear to be behind.
TEST_F(AgentCore, LateReplyDoesNotWeakenClockBound) {
  const auto old = agent.LastSent<wire::heartbeat>(0);
  agent.AdvanceTime(milliseconds(250));
  agent.ReplyToHeartbeat(0);
  const auto dispatch = agent.MakeDispatch(0, 1);
  agent.now += milliseconds(2100);
  wire::heartbeat_reply late{
      "e0", incarnation{7}, old.sequence, agent.HomeNow() - seconds(2), 0, "",
      0};
  agent.Deliver(0, late);
  agent.Deliver(0, dispatch);
  auto other_home = agent.MakeDispatch(0, 2);
  other_home.job.home = incarnation{8};
  agent.Deliver(0, other_home);
  for (const auto& report : agent.Sent<wire::task_report>(0))
    EXPECT_EQ(report.state, task_state::kRefused);
  EXPECT_EQ(Starts(), 0U);
}

// Guards against a dispatch on a closed connection whose credits are void.
TEST_F(AgentCore, FramesOfOldConnectionAreDropped) {
  const auto old = agent.Connection(0);
  agent.AdvanceTime(seconds(1));
  EXPECT_NE(agent.Connection(0), old);
  agent.Handle(entry_frame_received{0, {old, {agent.MakeDispatch(0, 1)}}});
  EXPECT_TRUE(agent.Sent<wire::task_report>(0).empty());
  EXPECT_EQ(agent.core->counters().stale_frames, 1U);
  EXPECT_EQ(agent.core->counters().reconnects, 2U);
}

// Guards against an entry that queues work at an agent without a free slot, and
// against a push baseline whose dispatches are refused.
TEST_F(AgentCore, DispatchWithoutCreditIsRefusedUnlessPushed) {
  agent.Deliver(0, agent.MakeDispatch(0, 1));
  agent.Deliver(0, agent.MakeDispatch(0, 2));
  agent.Deliver(0, agent.MakeDispatch(0, 3));
  agent.Deliver(0, agent.MakeDispatch(0, 4));
  EXPECT_EQ(agent.LastSent<wire::task_report>(0).reason, task_reason::kNoSlot);
  EXPECT_LE(Starts(), 2U);

  auto options = agent_driver::Options();
  options.push = true;
  agent = agent_driver(options);
  Connect();
  for (std::uint64_t job = 1; job <= 6; ++job)
    agent.Deliver(0, agent.MakeDispatch(0, job));
  EXPECT_EQ(Starts(), 2U);
  EXPECT_EQ(agent.Status().tasks_held, 4U);
}

// Guards against work that is accepted after the endpoint's announcement
// expired.
TEST_F(AgentCore, DispatchWithoutEndpointIsRefused) {
  agent.AdvanceTime(seconds(3));
  EXPECT_TRUE(agent.LastSent<wire::heartbeat>(0).endpoint.empty());
  EXPECT_FALSE(agent.core->ready());
  agent.ReplyToHeartbeat(0);
  agent.Deliver(0, agent.MakeDispatch(0, 1));
  EXPECT_EQ(agent.LastSent<wire::task_report>(0).reason,
            task_reason::kNoEndpoint);
  EXPECT_EQ(agent.LastSent<wire::heartbeat>(0).granted_total, 0U);
}

// Guards against held tasks that start at a withdrawn endpoint, or wait for an
// endpoint that may never be announced.
TEST_F(AgentCore, EndpointWithdrawalRefusesHeldTasks) {
  const auto first = agent.MakeDispatch(0, 1);
  agent.Deliver(0, first);
  agent.Deliver(0, agent.MakeDispatch(0, 2));
  agent.Deliver(1, agent.MakeDispatch(1, 3));
  ASSERT_EQ(agent.Status().tasks_held, 1U);
  agent.Handle(endpoint_withdrawn{});
  EXPECT_EQ(agent.LastSent<wire::task_report>(1).reason,
            task_reason::kNoEndpoint);
  EXPECT_TRUE(agent.LastSent<wire::heartbeat>(0).endpoint.empty());
  agent.EndTask(first.job);
  EXPECT_EQ(Starts(), 2U);
}

// Guards against a cancelled job whose held or later dispatched tasks start.
TEST_F(AgentCore, CancelRefusesHeldAndLaterTasks) {
  const auto job = agent.JobOf(0, 1);
  agent.Deliver(0, agent.MakeDispatch(0, 1, 0));
  agent.Deliver(0, agent.MakeDispatch(0, 1, 1));
  agent.Deliver(1, agent.MakeDispatch(1, 2));
  agent.Deliver(1, wire::job_cancel{agent.JobOf(1, 2)});
  EXPECT_EQ(agent.LastSent<wire::task_report>(1).reason,
            task_reason::kCancelled);
  agent.Deliver(0, wire::job_cancel{job});
  agent.EndTask(job, 0);
  agent.Deliver(0, agent.MakeDispatch(0, 1, 2));
  EXPECT_EQ(agent.LastSent<wire::task_report>(0).reason,
            task_reason::kCancelled);
  EXPECT_EQ(Starts(), 2U);
}

// Guards against a freed slot that stays idle, or needs a separate grant
// message, although the entry has queued tasks.
TEST_F(AgentCore, ReportGrantsFreedSlot) {
  auto dispatch = agent.MakeDispatch(0, 1);
  dispatch.queue_length = 5;
  agent.Deliver(0, dispatch);
  // The second slot was granted to entry 0 immediately, as it had no credit.
  const auto granted = agent.LastSent<wire::grant>(0).granted_total;
  EXPECT_EQ(granted, 2U);
  agent.EndTask(dispatch.job);
  EXPECT_EQ(agent.LastSent<wire::task_report>(0).granted_total, granted + 1);
  EXPECT_EQ(agent.Sent<wire::grant>(0).size(), 1U);
  EXPECT_TRUE(agent.Sent<wire::grant>(1).empty());
}

// Guards against credits that stay idle at one entry while another needs them.
TEST_F(AgentCore, IdleCreditsAreRecalled) {
  agent.AdvanceTime(milliseconds(250));
  agent.ReplyToHeartbeat(0, 5);
  agent.AdvanceTime(milliseconds(250));
  EXPECT_EQ(agent.LastSent<wire::heartbeat>(0).granted_total, 2U);
  agent.ReplyToHeartbeat(0, 0);
  agent.ReplyToHeartbeat(1, 5);
  EXPECT_EQ(agent.LastSent<wire::recall>(0).count, 1U);
  agent.Deliver(0, wire::release{1});
  agent.Deliver(0, wire::release{1});
  agent.AdvanceTime(milliseconds(250));
  EXPECT_EQ(agent.LastSent<wire::heartbeat>(1).granted_total, 2U);
  EXPECT_EQ(agent.Status().credits_granted, 3U);
}

// Guards against a full record table that drops records or sends refusals
// without a record.
TEST_F(AgentCore, FullRecordTableRefusesNewTasks) {
  auto options = agent_driver::Options();
  options.max_records = 1;
  agent = agent_driver(options);
  Connect();
  const auto first = agent.MakeDispatch(0, 1);
  agent.Deliver(0, first);
  agent.EndTask(first.job);
  agent.Deliver(0, agent.MakeDispatch(0, 2));
  EXPECT_EQ(agent.LastSent<wire::task_report>(0).reason,
            task_reason::kRecordsFull);
  agent.Deliver(0, agent.MakeDispatch(0, 3));
  EXPECT_EQ(agent.Sent<wire::task_report>(0).size(), 2U);
  EXPECT_EQ(agent.core->counters().unrecorded, 1U);
  agent.Deliver(0, first);
  EXPECT_EQ(agent.LastSent<wire::task_report>(0).state, task_state::kFinished);
  agent.AdvanceTime(seconds(120));
  EXPECT_EQ(agent.Status().records, 0U);
}

// Guards against a report that a task did not run after its record expired.
TEST_F(AgentCore, ExpiredTaskIsNotReportedAsRefused) {
  const auto dispatch = agent.MakeDispatch(0, 1);
  agent.Deliver(0, dispatch);
  agent.EndTask(dispatch.job);
  agent.AdvanceTime(seconds(121));
  agent.ReplyToHeartbeat(0);
  const auto reports = agent.Sent<wire::task_report>(0).size();
  agent.Deliver(0, wire::task_query{dispatch.job, 0, 10, dispatch_number{1}});
  agent.Deliver(0, dispatch);
  EXPECT_EQ(agent.Sent<wire::task_report>(0).size(), reports);
  EXPECT_EQ(agent.core->counters().unrecorded, 2U);
  // A dispatch before its start limit is still refused with the correct reason,
  // although the job id is old.
  agent.Deliver(0, agent.MakeDispatch(0, 3));
  EXPECT_EQ(agent.LastSent<wire::task_report>(0).reason,
            task_reason::kNoEndpoint);
  // Records of a job younger than the retention time cannot have expired.
  auto young = agent.MakeDispatch(0, 2);
  young.job.created_ms = agent.HomeMs();
  agent.Deliver(0, wire::task_query{young.job, 0, 10, dispatch_number{1}});
  EXPECT_EQ(agent.LastSent<wire::task_report>(0).reason, task_reason::kFenced);
}

// Guards against a configuration that reverts to a lower version, or that is
// not offered to an entry with a lower version.
TEST_F(AgentCore, ConfigurationNeverRevertsAndIsOffered) {
  wire::heartbeat_reply reply;
  const auto answer = [&](std::uint64_t version, std::string document) {
    agent.AdvanceTime(milliseconds(250));
    reply = {"e0",
             incarnation{7},
             agent.LastSent<wire::heartbeat>(0).sequence,
             agent.HomeNow(),
             version,
             std::move(document),
             0};
    agent.Deliver(0, reply);
    return agent.Status().config_version;
  };
  const std::string five = "[desk.banco-turni]\nobjective = 0.99\n";
  EXPECT_EQ(answer(5, five), 5U);
  EXPECT_EQ(answer(4, "[desk.turni]\n"), 5U);
  EXPECT_EQ(agent.LastSent<wire::config_offer>(0).version, 5U);
  EXPECT_EQ(agent.LastSent<wire::config_offer>(0).document, five);
  EXPECT_EQ(answer(0, ""), 5U);
  EXPECT_EQ(agent.Sent<wire::config_offer>(0).size(), 1U);
  EXPECT_EQ(answer(6, ""), 5U);
  EXPECT_EQ(answer(7, "not a document"), 5U);
}

// Guards against a drain that interrupts tasks, or finishes before the entries
// received the last report.
TEST_F(AgentCore, DrainFinishesWorkAndWaitsForConfirmation) {
  const auto dispatch = agent.MakeDispatch(0, 1);
  agent.Deliver(0, dispatch);
  agent.Handle(agent_drain{});
  agent.Handle(agent_drain{});
  EXPECT_TRUE(agent.LastSent<wire::heartbeat>(1).draining);
  agent.Deliver(1, agent.MakeDispatch(1, 2));
  EXPECT_EQ(agent.LastSent<wire::task_report>(1).reason,
            task_reason::kDraining);
  agent.ReplyToHeartbeat(0);
  agent.ReplyToHeartbeat(1);
  EXPECT_TRUE(agent.Commands<agent_drain_finished>().empty());
  agent.EndTask(dispatch.job);
  EXPECT_EQ(agent.LastSent<wire::task_report>(0).state, task_state::kFinished);
  agent.ReplyToHeartbeat(0);
  EXPECT_TRUE(agent.Commands<agent_drain_finished>().empty());
  agent.ReplyToHeartbeat(1);
  EXPECT_EQ(agent.Commands<agent_drain_finished>().size(), 1U);
}

// Guards against a draining agent that grants freed slots.
TEST_F(AgentCore, DrainingAgentGrantsNothing) {
  const auto dispatch = agent.MakeDispatch(0, 1);
  agent.Deliver(0, dispatch);
  agent.Handle(agent_drain{});
  const auto granted = agent.LastSent<wire::heartbeat>(0).granted_total;
  agent.ReplyToHeartbeat(0, 5);
  agent.EndTask(dispatch.job);
  agent.AdvanceTime(milliseconds(250));
  EXPECT_EQ(agent.LastSent<wire::heartbeat>(0).granted_total, granted);
  EXPECT_EQ(agent.LastSent<wire::task_report>(0).granted_total, granted);
}

// Guards against a drain that waits forever for an unreachable entry.
TEST_F(AgentCore, DrainWithoutConfirmationTimesOut) {
  agent.Handle(agent_drain{});
  agent.AdvanceTime(milliseconds(1900));
  EXPECT_TRUE(agent.Commands<agent_drain_finished>().empty());
  agent.AdvanceTime(milliseconds(100));
  EXPECT_EQ(agent.Commands<agent_drain_finished>().size(), 1U);
}

// Guards against options that the core cannot work with.
TEST(AgentOptions, OutOfRangeIsRejected) {
  auto options = agent_driver::Options();
  options.agent = "No Name";
  EXPECT_FALSE(agent_core::Create(options).has_value());
  options = agent_driver::Options();
  options.slots = 0;
  EXPECT_EQ(agent_core::Create(options).error().code, errc::kInvalidArgument);
}

}  // namespace
}  // namespace egretrack::decision
