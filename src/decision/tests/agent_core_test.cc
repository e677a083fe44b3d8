#include "egretrack/decision/agent_core.h"

#include <gtest/gtest.h>

#include "decision/tests/agent_driver.h"

namespace egretrack::decision {
namespace {

using wire::task_reason;
using wire::task_state;

// An agent with an endpoint, both of whose entries have answered.
class AgentCore : public testing::Test {
 protected:
  AgentCore() { Connect(); }

  void Connect() {
    agent.Announce();
    agent.Reply(0);
    agent.Reply(1);
  }

  std::size_t Starts() const { return agent.Commands<start_task>().size(); }

  agent_driver agent{agent_driver::Options()};
};

// Guards against a task that runs twice because its dispatch came twice.
TEST_F(AgentCore, DuplicateIsAnsweredFromTheRecord) {
  const auto dispatch = agent.Dispatch(0, 1);
  agent.Deliver(0, dispatch);
  agent.Deliver(0, dispatch);
  EXPECT_EQ(agent.Last<wire::task_report>(0).state, task_state::kStarted);
  agent.End(dispatch.job);
  agent.Deliver(0, dispatch);
  const auto reports = agent.Sent<wire::task_report>(0);
  ASSERT_EQ(reports.size(), 3U);
  EXPECT_EQ(reports[1].result, "result");
  EXPECT_EQ(reports[2].state, task_state::kFinished);
  EXPECT_EQ(reports[2].result, "result");
  EXPECT_EQ(Starts(), 1U);
  EXPECT_EQ(agent.core->counters().duplicates, 2U);
}

// Guards against a start after the home was told that there will be none.
TEST_F(AgentCore, QueryWithoutRecordFencesTheTask) {
  const auto dispatch = agent.Dispatch(0, 1);
  agent.Deliver(0, wire::task_query{dispatch.job, 0, 10, dispatch_number{1}});
  EXPECT_EQ(agent.Last<wire::task_report>(0).reason, task_reason::kFenced);
  agent.Deliver(0, dispatch);
  EXPECT_EQ(agent.Last<wire::task_report>(0).state, task_state::kRefused);
  EXPECT_EQ(Starts(), 0U);
}

// Guards against a held task that starts after its home was told that it will
// not.
TEST_F(AgentCore, QueryOfAHeldTaskFencesIt) {
  const auto first = agent.Dispatch(0, 1);
  const auto held = agent.Dispatch(1, 3);
  agent.Deliver(0, first);
  agent.Deliver(0, agent.Dispatch(0, 2));
  agent.Deliver(1, held);
  ASSERT_EQ(agent.Report().tasks_held, 1U);
  agent.Deliver(1, wire::task_query{held.job, 0, 10, dispatch_number{1}});
  EXPECT_EQ(agent.Last<wire::task_report>(1).reason, task_reason::kFenced);
  agent.End(first.job);
  agent.Deliver(1, held);
  EXPECT_EQ(agent.Last<wire::task_report>(1).state, task_state::kRefused);
  EXPECT_EQ(Starts(), 2U);
}

// Guards against a refused task that its only agent never takes again, and
// against a late copy of the refused dispatch that starts it a second time.
TEST_F(AgentCore, RefusedTaskSentAnewStartsOnce) {
  auto dispatch = agent.Dispatch(0, 1);
  agent.Deliver(0, wire::task_query{dispatch.job, 0, 10, dispatch_number{1}});
  const auto first = dispatch;
  dispatch.number = dispatch_number{2};
  agent.Deliver(0, dispatch);
  EXPECT_EQ(Starts(), 1U);
  agent.Deliver(0, first);
  agent.Deliver(0, dispatch);
  agent.End(dispatch.job);
  agent.Deliver(0, first);
  EXPECT_EQ(agent.Last<wire::task_report>(0).state, task_state::kFinished);
  EXPECT_EQ(Starts(), 1U);
}

// Guards against a task that starts after its home was told, in answer to a
// query for a later dispatch, that it will not: the refusal of the earlier one
// must not leave the later one open.
TEST_F(AgentCore, QueryOfALaterDispatchFencesIt) {
  auto dispatch = agent.Dispatch(0, 1);
  agent.Deliver(0, wire::task_query{dispatch.job, 0, 10, dispatch_number{1}});
  agent.Deliver(0, wire::task_query{dispatch.job, 0, 10, dispatch_number{2}});
  EXPECT_EQ(agent.Last<wire::task_report>(0).state, task_state::kRefused);
  EXPECT_EQ(agent.Last<wire::task_report>(0).dispatch, dispatch_number{2});
  dispatch.number = dispatch_number{2};
  agent.Deliver(0, dispatch);
  EXPECT_EQ(Starts(), 0U);
  agent.Pass(agent_driver::Options().retention + seconds(1));
  EXPECT_EQ(agent.Report().records, 0U);
}

// Guards against the expiry of a refusal that takes the record of the later
// start with it.
TEST_F(AgentCore, ExpiryOfARefusalKeepsTheLaterStart) {
  auto dispatch = agent.Dispatch(0, 1);
  agent.Deliver(0, wire::task_query{dispatch.job, 0, 10, dispatch_number{1}});
  dispatch.number = dispatch_number{2};
  agent.Deliver(0, dispatch);
  agent.Pass(agent_driver::Options().retention + seconds(1));
  EXPECT_EQ(agent.Report().records, 1U);
}

// Guards against a lookup by another entry that fences off the home's work.
TEST_F(AgentCore, LookupWritesNothing) {
  const auto dispatch = agent.Dispatch(0, 1);
  agent.Deliver(1, wire::job_lookup{5, dispatch.job});
  EXPECT_TRUE(agent.Last<wire::job_records>(1).records.empty());
  agent.Deliver(0, dispatch);
  EXPECT_EQ(Starts(), 1U);
  agent.Deliver(1, wire::job_lookup{6, dispatch.job});
  const auto found = agent.Last<wire::job_records>(1);
  ASSERT_EQ(found.records.size(), 1U);
  EXPECT_EQ(found.records[0].state, task_state::kStarted);
}

// Guards against a late packet or a paused agent starting a task whose job has
// been answered.
TEST_F(AgentCore, NothingStartsPastStartBy) {
  const auto dispatch = agent.Dispatch(0, 1);
  agent.now += milliseconds(1999);
  agent.Deliver(0, dispatch);
  EXPECT_EQ(agent.Last<wire::task_report>(0).reason,
            task_reason::kStartByPassed);
  EXPECT_EQ(Starts(), 0U);
}

// Guards against the check at arrival standing in for the one at the start.
TEST_F(AgentCore, HeldTaskIsCheckedAgainWhenItLeavesTheQueue) {
  const auto first = agent.Dispatch(0, 1);
  agent.Deliver(0, first);
  agent.Deliver(0, agent.Dispatch(0, 2));
  agent.Deliver(1, agent.Dispatch(1, 3));
  EXPECT_EQ(agent.Report().tasks_held, 1U);
  agent.now += seconds(2);
  agent.End(first.job);
  EXPECT_EQ(Starts(), 2U);
  EXPECT_EQ(agent.Last<wire::task_report>(1).reason,
            task_reason::kStartByPassed);
}

// Guards against a slow reply or one of a past incarnation that makes the
// home's clock look younger than it is.
TEST_F(AgentCore, OldReplyDoesNotWeakenTheBound) {
  const auto old = agent.Last<wire::heartbeat>(0);
  agent.Pass(milliseconds(250));
  agent.Reply(0);
  const auto dispatch = agent.Dispatch(0, 1);
  agent.now += milliseconds(2100);
  wire::heartbeat_reply late{
      "e0", incarnation{7}, old.sequence, agent.HomeNow() - seconds(2), 0, "",
      0};
  agent.Deliver(0, late);
  agent.Deliver(0, dispatch);
  auto other_home = agent.Dispatch(0, 2);
  other_home.job.home = incarnation{8};
  agent.Deliver(0, other_home);
  for (const auto& report : agent.Sent<wire::task_report>(0))
    EXPECT_EQ(report.state, task_state::kRefused);
  EXPECT_EQ(Starts(), 0U);
}

// Guards against a dispatch of a closed connection, whose credit is void.
TEST_F(AgentCore, FramesOfAnotherConnectionAreDropped) {
  const auto old = agent.Connection(0);
  agent.Pass(seconds(1));
  EXPECT_NE(agent.Connection(0), old);
  agent.Handle(entry_frame_received{0, {old, {agent.Dispatch(0, 1)}}});
  EXPECT_TRUE(agent.Sent<wire::task_report>(0).empty());
  EXPECT_EQ(agent.core->counters().stale_frames, 1U);
  EXPECT_EQ(agent.core->counters().reconnects, 2U);
}

// Guards against an entry that queues work at an agent without a free slot,
// and against the pushing baseline being refused.
TEST_F(AgentCore, DispatchWithoutCreditIsRefusedUnlessPushed) {
  agent.Deliver(0, agent.Dispatch(0, 1));
  agent.Deliver(0, agent.Dispatch(0, 2));
  agent.Deliver(0, agent.Dispatch(0, 3));
  agent.Deliver(0, agent.Dispatch(0, 4));
  EXPECT_EQ(agent.Last<wire::task_report>(0).reason, task_reason::kNoSlot);
  EXPECT_LE(Starts(), 2U);

  auto options = agent_driver::Options();
  options.push = true;
  agent = agent_driver(options);
  Connect();
  for (std::uint64_t job = 1; job <= 6; ++job)
    agent.Deliver(0, agent.Dispatch(0, job));
  EXPECT_EQ(Starts(), 2U);
  EXPECT_EQ(agent.Report().tasks_held, 4U);
}

// Guards against an endpoint that is gone but still gets work.
TEST_F(AgentCore, WithoutEndpointNothingIsAccepted) {
  agent.Pass(seconds(3));
  EXPECT_TRUE(agent.Last<wire::heartbeat>(0).endpoint.empty());
  EXPECT_FALSE(agent.core->ready());
  agent.Reply(0);
  agent.Deliver(0, agent.Dispatch(0, 1));
  EXPECT_EQ(agent.Last<wire::task_report>(0).reason, task_reason::kNoEndpoint);
  EXPECT_EQ(agent.Last<wire::heartbeat>(0).granted_total, 0U);
}

// Guards against held tasks that start at an endpoint that is gone, or wait
// for one that may never come.
TEST_F(AgentCore, WithdrawalRefusesHeldTasks) {
  const auto first = agent.Dispatch(0, 1);
  agent.Deliver(0, first);
  agent.Deliver(0, agent.Dispatch(0, 2));
  agent.Deliver(1, agent.Dispatch(1, 3));
  ASSERT_EQ(agent.Report().tasks_held, 1U);
  agent.Handle(endpoint_withdrawn{});
  EXPECT_EQ(agent.Last<wire::task_report>(1).reason, task_reason::kNoEndpoint);
  EXPECT_TRUE(agent.Last<wire::heartbeat>(0).endpoint.empty());
  agent.End(first.job);
  EXPECT_EQ(Starts(), 2U);
}

// Guards against a cancelled job whose queued or later tasks still start.
TEST_F(AgentCore, CancelRefusesHeldAndLaterTasks) {
  const auto job = agent.JobOf(0, 1);
  agent.Deliver(0, agent.Dispatch(0, 1, 0));
  agent.Deliver(0, agent.Dispatch(0, 1, 1));
  agent.Deliver(1, agent.Dispatch(1, 2));
  agent.Deliver(1, wire::job_cancel{agent.JobOf(1, 2)});
  EXPECT_EQ(agent.Last<wire::task_report>(1).reason, task_reason::kCancelled);
  agent.Deliver(0, wire::job_cancel{job});
  agent.End(job, 0);
  agent.Deliver(0, agent.Dispatch(0, 1, 2));
  EXPECT_EQ(agent.Last<wire::task_report>(0).reason, task_reason::kCancelled);
  EXPECT_EQ(Starts(), 2U);
}

// Guards against a freed slot that stays idle, or costs a message of its own,
// although the entry waits for it.
TEST_F(AgentCore, FreedSlotRidesOnTheReport) {
  auto dispatch = agent.Dispatch(0, 1);
  dispatch.queue_length = 5;
  agent.Deliver(0, dispatch);
  // The second slot went to entry 0 at once, because it held no credit.
  const auto granted = agent.Last<wire::grant>(0).granted_total;
  EXPECT_EQ(granted, 2U);
  agent.End(dispatch.job);
  EXPECT_EQ(agent.Last<wire::task_report>(0).granted_total, granted + 1);
  EXPECT_EQ(agent.Sent<wire::grant>(0).size(), 1U);
  EXPECT_TRUE(agent.Sent<wire::grant>(1).empty());
}

// Guards against credits that lie idle at one entry while another needs them.
TEST_F(AgentCore, IdleCreditsAreRecalled) {
  agent.Pass(milliseconds(250));
  agent.Reply(0, 5);
  agent.Pass(milliseconds(250));
  EXPECT_EQ(agent.Last<wire::heartbeat>(0).granted_total, 2U);
  agent.Reply(0, 0);
  agent.Reply(1, 5);
  EXPECT_EQ(agent.Last<wire::recall>(0).count, 1U);
  agent.Deliver(0, wire::release{1});
  agent.Deliver(0, wire::release{1});
  agent.Pass(milliseconds(250));
  EXPECT_EQ(agent.Last<wire::heartbeat>(1).granted_total, 2U);
  EXPECT_EQ(agent.Report().credits_granted, 3U);
}

// Guards against a full table that forgets, or refuses without a record.
TEST_F(AgentCore, FullRecordsRefuseAndForgetNothing) {
  auto options = agent_driver::Options();
  options.max_records = 1;
  agent = agent_driver(options);
  Connect();
  const auto first = agent.Dispatch(0, 1);
  agent.Deliver(0, first);
  agent.End(first.job);
  agent.Deliver(0, agent.Dispatch(0, 2));
  EXPECT_EQ(agent.Last<wire::task_report>(0).reason, task_reason::kRecordsFull);
  agent.Deliver(0, agent.Dispatch(0, 3));
  EXPECT_EQ(agent.Sent<wire::task_report>(0).size(), 2U);
  EXPECT_EQ(agent.core->counters().unrecorded, 1U);
  agent.Deliver(0, first);
  EXPECT_EQ(agent.Last<wire::task_report>(0).state, task_state::kFinished);
  agent.Pass(seconds(120));
  EXPECT_EQ(agent.Report().records, 0U);
}

// Guards against the claim that a task never ran after its record expired.
TEST_F(AgentCore, ForgottenTaskIsNotDenied) {
  const auto dispatch = agent.Dispatch(0, 1);
  agent.Deliver(0, dispatch);
  agent.End(dispatch.job);
  agent.Pass(seconds(121));
  agent.Reply(0);
  const auto reports = agent.Sent<wire::task_report>(0).size();
  agent.Deliver(0, wire::task_query{dispatch.job, 0, 10, dispatch_number{1}});
  agent.Deliver(0, dispatch);
  EXPECT_EQ(agent.Sent<wire::task_report>(0).size(), reports);
  EXPECT_EQ(agent.core->counters().unrecorded, 2U);
  // A job submitted late with an old id still gets a truthful refusal.
  agent.Deliver(0, agent.Dispatch(0, 3));
  EXPECT_EQ(agent.Last<wire::task_report>(0).reason, task_reason::kNoEndpoint);
  // A job that is younger than the retention time cannot have been forgotten.
  auto young = agent.Dispatch(0, 2);
  young.job.created_ms = agent.HomeMs();
  agent.Deliver(0, wire::task_query{young.job, 0, 10, dispatch_number{1}});
  EXPECT_EQ(agent.Last<wire::task_report>(0).reason, task_reason::kFenced);
}

// Guards against a configuration that reverts, or that a restarted entry does
// not learn of.
TEST_F(AgentCore, ConfigurationOnlyRisesAndIsOffered) {
  wire::heartbeat_reply reply;
  const auto answer = [&](std::uint64_t version, std::string document) {
    agent.Pass(milliseconds(250));
    reply = {"e0",
             incarnation{7},
             agent.Last<wire::heartbeat>(0).sequence,
             agent.HomeNow(),
             version,
             std::move(document),
             0};
    agent.Deliver(0, reply);
    return agent.Report().config_version;
  };
  const std::string five = "[desk.banco-turni]\nobjective = 0.99\n";
  EXPECT_EQ(answer(5, five), 5U);
  EXPECT_EQ(answer(4, "[desk.turni]\n"), 5U);
  EXPECT_EQ(agent.Last<wire::config_offer>(0).version, 5U);
  EXPECT_EQ(agent.Last<wire::config_offer>(0).document, five);
  EXPECT_EQ(answer(0, ""), 5U);
  EXPECT_EQ(agent.Sent<wire::config_offer>(0).size(), 1U);
  EXPECT_EQ(answer(6, ""), 5U);
  EXPECT_EQ(answer(7, "not a document"), 5U);
}

// Guards against a shutdown that interrupts work, or ends before the entries
// have the last report.
TEST_F(AgentCore, DrainFinishesWorkAndWaitsForConfirmation) {
  const auto dispatch = agent.Dispatch(0, 1);
  agent.Deliver(0, dispatch);
  agent.Handle(agent_drain{});
  agent.Handle(agent_drain{});
  EXPECT_TRUE(agent.Last<wire::heartbeat>(1).draining);
  agent.Deliver(1, agent.Dispatch(1, 2));
  EXPECT_EQ(agent.Last<wire::task_report>(1).reason, task_reason::kDraining);
  agent.Reply(0);
  agent.Reply(1);
  EXPECT_TRUE(agent.Commands<agent_drain_finished>().empty());
  agent.End(dispatch.job);
  EXPECT_EQ(agent.Last<wire::task_report>(0).state, task_state::kFinished);
  agent.Reply(0);
  EXPECT_TRUE(agent.Commands<agent_drain_finished>().empty());
  agent.Reply(1);
  EXPECT_EQ(agent.Commands<agent_drain_finished>().size(), 1U);
}

// Guards against a draining agent that grants the slots it frees.
TEST_F(AgentCore, DrainingAgentGrantsNothing) {
  const auto dispatch = agent.Dispatch(0, 1);
  agent.Deliver(0, dispatch);
  agent.Handle(agent_drain{});
  const auto granted = agent.Last<wire::heartbeat>(0).granted_total;
  agent.Reply(0, 5);
  agent.End(dispatch.job);
  agent.Pass(milliseconds(250));
  EXPECT_EQ(agent.Last<wire::heartbeat>(0).granted_total, granted);
  EXPECT_EQ(agent.Last<wire::task_report>(0).granted_total, granted);
}

// Guards against a shutdown that waits for an entry that is gone.
TEST_F(AgentCore, DrainWithoutConfirmationIsBounded) {
  agent.Handle(agent_drain{});
  agent.Pass(milliseconds(1900));
  EXPECT_TRUE(agent.Commands<agent_drain_finished>().empty());
  agent.Pass(milliseconds(100));
  EXPECT_EQ(agent.Commands<agent_drain_finished>().size(), 1U);
}

// Guards against options that the core cannot keep.
TEST(AgentOptions, OutOfRangeIsRefused) {
  auto options = agent_driver::Options();
  options.agent = "No Name";
  EXPECT_FALSE(agent_core::Create(options).has_value());
  options = agent_driver::Options();
  options.slots = 0;
  EXPECT_EQ(agent_core::Create(options).error().code, errc::kInvalidArgument);
}

}  // namespace
}  // namespace egretrack::decision
