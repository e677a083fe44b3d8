#include <gtest/gtest.h>

#include "egretrack/scheduler/evacuation_map.h"
#include "scheduler/domain_return.h"
#include "scheduler/tests/scheduler_driver.h"

namespace egretrack::scheduler {
namespace {

using decision::job_errc;
using evacuations = std::vector<wire::domain_evacuation>;

// Agent 1 is in "palermo" and agent 2 in "enna".
class JobSchedulerEvacuation : public testing::Test {
 protected:
  void SetUp() override {
    driver_.Configure();
    SendHeartbeat(1, "palermo");
    SendHeartbeat(2, "enna");
  }

  void SendHeartbeat(std::uint32_t agent,
                     std::string domain,
                     const evacuations& values = {}) {
    auto frame = driver_.MakeFrame(agent);
    auto heartbeat = driver_.MakeHeartbeat();
    heartbeat.failure_domain = std::move(domain);
    evacuation_map known;
    known.Merge(values);
    heartbeat.evacuations_hash = known.hash();
    heartbeat.evacuations = values;
    frame.messages.emplace_back(std::move(heartbeat));
    driver_.DeliverFrame(agent, std::move(frame));
  }

  void Receive(evacuations values,
               std::optional<std::uint64_t> snapshot = std::nullopt) {
    driver_.Handle(evacuations_received{std::move(values), snapshot, {}});
  }

  // Names of the agents of the dispatches since the last call.
  std::vector<std::string> TakeAgents() {
    std::vector<std::string> agents;
    for (const dispatched_task& task : driver_.TakeDispatched())
      agents.push_back(task.agent);
    return agents;
  }

  // The last message about evacuations to the agent.
  wire::beat_reply LastReply(std::uint32_t agent) const {
    wire::beat_reply last;
    for (const scheduler_command& command : driver_.commands) {
      const auto* send = std::get_if<send_to_agent>(&command);
      if (send == nullptr || send->link != link_id{agent})
        continue;
      for (const auto& message : send->frame.messages) {
        if (const auto* reply = std::get_if<wire::beat_reply>(&message))
          last = *reply;
      }
    }
    return last;
  }

  std::size_t CountRecords(decision_kind kind) const {
    std::size_t count = 0;
    for (const scheduler_command& command : driver_.commands) {
      const auto* record = std::get_if<decision_record>(&command);
      count += record != nullptr && record->kind == kind ? 1 : 0;
    }
    return count;
  }

  scheduler_driver driver_;
};

// Guards against dispatches to an evacuated domain, and against an entry that
// reports not ready for an evacuation.
TEST_F(JobSchedulerEvacuation, PlacesOutsideEvacuatedDomain) {
  Receive({{"palermo", 5, true}});
  driver_.Handle(scheduler_driver::MakeJob(1, "j", 6));
  EXPECT_EQ(TakeAgents(), std::vector<std::string>(6, "a2"));
  Receive({{"enna", 6, true}});
  EXPECT_TRUE(driver_.core->ready());
  EXPECT_EQ(driver_.core->gauges().evacuated_domains, 2U);
}

// Guards against agents that learn of an evacuation only with their next
// heartbeat.
TEST_F(JobSchedulerEvacuation, TellsAgentsAtOnce) {
  Receive({{"palermo", 5, true}});
  for (const std::uint32_t agent : {1U, 2U}) {
    EXPECT_EQ(LastReply(agent).evacuations,
              (evacuations{{"palermo", 5, true}}));
  }
  // An agent that has the list does not get it again.
  SendHeartbeat(1, "palermo", {{"palermo", 5, true}});
  EXPECT_TRUE(LastReply(1).evacuations.empty());
  EXPECT_NE(LastReply(1).evacuations_hash, 0U);
  SendHeartbeat(1, "palermo");
  EXPECT_FALSE(LastReply(1).evacuations.empty());
}

// Guards against an agent that cannot read the entry's clock, and so returns a
// dispatch as too late, because the message about the evacuation hides the
// reply to its heartbeat.
TEST_F(JobSchedulerEvacuation, ReplyToHeartbeatIsLastInFrame) {
  auto frame = driver_.MakeFrame(1);
  frame.messages.emplace_back(driver_.MakeHeartbeat());
  driver_.core->Handle(agent_frame{link_id{1}, std::move(frame)}, driver_.now,
                       driver_.commands);
  Receive({{"enna", 5, true}});
  EXPECT_EQ(LastReply(1).sequence, driver_.last_sequence);
}

// Guards against an entry without the store that places tasks in a domain which
// its agents know to be evacuated, and that does not tell its other agents.
TEST_F(JobSchedulerEvacuation, LearnsFromAgentAndTellsAnother) {
  SendHeartbeat(2, "enna", {{"enna", 5, true}});
  driver_.Handle(scheduler_driver::MakeJob(1, "j", 4));
  EXPECT_EQ(TakeAgents(), std::vector<std::string>(4, "a1"));
  EXPECT_EQ(LastReply(1).evacuations, (evacuations{{"enna", 5, true}}));
}

// Guards against a restarted entry that loses an evacuation because the rows
// arrive before its configuration and its agents.
TEST_F(JobSchedulerEvacuation, KeepsRowsReadBeforeConfiguration) {
  scheduler_driver restarted;
  restarted.Handle(evacuations_received{{{"palermo", 5, true}}, 8, {}});
  restarted.Configure();
  restarted.SendHeartbeat(1);
  restarted.Handle(scheduler_driver::MakeJob(1, "j"));
  EXPECT_TRUE(restarted.TakeDispatched().empty());
}

// Guards against an evacuation that counts against the health of the worker,
// and against a returned task that is lost or placed there again.
TEST_F(JobSchedulerEvacuation, PlacesReturnedTaskElsewhere) {
  Receive({{"enna", 4, true}});
  driver_.Handle(scheduler_driver::MakeJob(1, "j", 8));
  const auto dispatched = driver_.TakeDispatched();
  ASSERT_EQ(dispatched.size(), 8U);
  Receive({{"enna", 5, false}, {"palermo", 6, true}});
  for (const dispatched_task& task : dispatched) {
    ASSERT_EQ(task.agent, "a1");
    driver_.Report(task, wire::run_end::kRefused, wire::run_reason::kEvacuated);
  }
  EXPECT_EQ(TakeAgents(), std::vector<std::string>(8, "a2"));
  EXPECT_EQ(driver_.core->counters().tasks_evacuated, 8U);
  EXPECT_EQ(driver_.core->counters().ejections, 0U);
}

// Guards against a domain whose workers stay out of use after the row was
// removed, by its tombstone or by a full read without the row.
TEST_F(JobSchedulerEvacuation, UsesDomainAgainAtOnce) {
  Receive({{"enna", 5, true}, {"palermo", 5, true}});
  Receive({{"palermo", 7, false}});
  driver_.Handle(scheduler_driver::MakeJob(1, "j"));
  EXPECT_EQ(TakeAgents(), std::vector<std::string>{"a1"});
  Receive({{"palermo", 8, true}});
  Receive({{"palermo", 8, true}}, 9);
  driver_.Handle(scheduler_driver::MakeJob(2, "k"));
  EXPECT_EQ(TakeAgents(), std::vector<std::string>{"a2"});
}

// Guards against callers that wait for a job which only workers of evacuated
// domains can run, and against refusing one that another worker can run.
TEST_F(JobSchedulerEvacuation, RefusesJobThatNeedsEvacuatedWorker) {
  Receive({{"palermo", 5, true}});
  auto job = scheduler_driver::MakeJob(1, "j");
  job.steps.push_back(job.steps[0]);
  driver_.Handle(job);
  EXPECT_FALSE(driver_.AnswerFor(1));
  EXPECT_FALSE(TakeAgents().empty());
  Receive({{"enna", 6, true}});
  driver_.Handle(scheduler_driver::MakeJob(2, "k"));
  ASSERT_TRUE(driver_.AnswerFor(2));
  EXPECT_EQ(driver_.AnswerFor(2)->state, job_state::kRefused);
  EXPECT_EQ(driver_.AnswerFor(2)->code, job_errc::kNoEndpoint);
  // A job that no worker could run anyway waits, as a worker may appear.
  auto large = scheduler_driver::MakeJob(3, "l");
  large.steps[0].need.cpu_milli = 64000;
  driver_.Handle(large);
  EXPECT_FALSE(driver_.AnswerFor(3));
}

// Guards against a refusal that comes only at the deadline when the tasks of a
// job were returned without a run.
TEST_F(JobSchedulerEvacuation, RefusesReturnedJobThatNeedsEvacuatedWorker) {
  Receive({{"enna", 4, true}});
  driver_.Handle(scheduler_driver::MakeJob(1, "j", 2));
  const auto dispatched = driver_.TakeDispatched();
  ASSERT_EQ(dispatched.size(), 2U);
  Receive({{"palermo", 6, true}});
  driver_.Report(dispatched[0], wire::run_end::kRefused,
                 wire::run_reason::kEvacuated);
  EXPECT_FALSE(driver_.AnswerFor(1));
  driver_.Report(dispatched[1], wire::run_end::kRefused,
                 wire::run_reason::kEvacuated);
  ASSERT_TRUE(driver_.AnswerFor(1));
  EXPECT_EQ(driver_.AnswerFor(1)->state, job_state::kRefused);
  EXPECT_EQ(driver_.AnswerFor(1)->code, job_errc::kNoEndpoint);
}

// Guards against a name that the operator has mistyped without noticing, and
// against such a line for each domain after the restart of an entry.
TEST_F(JobSchedulerEvacuation, ReportsUnknownDomainOncePerVersion) {
  Receive({{"palermo", 5, true}, {"palermmo", 6, true}});
  driver_.AdvanceTimeWithHeartbeats(seconds(6), {1, 2});
  EXPECT_EQ(CountRecords(decision_kind::kEvacuationOfUnknownDomain), 1U);
  Receive({{"palermo", 5, true}, {"palermmo", 6, true}}, 8);
  driver_.AdvanceTimeWithHeartbeats(seconds(6), {1, 2});
  EXPECT_EQ(CountRecords(decision_kind::kEvacuationOfUnknownDomain), 1U);
  EXPECT_EQ(CountRecords(decision_kind::kEvacuationChanged), 2U);
}

// Guards against agents that get several times their capacity when the domain
// of the only workers for a step returns: every entry has waiting tasks, sees
// the workers as free, and knows nothing of the dispatches of the others.
TEST(JobSchedulerDomainReturn, EntriesShareReturnedWorkers) {
  constexpr std::size_t kEntries = 8;
  constexpr std::uint32_t kWaitingTasks = 20;
  constexpr std::size_t kCapacity = 10;  // Tasks that fit the worker.
  std::vector<wire::entry_member> members;
  for (std::size_t number = 0; number < kEntries; ++number)
    members.push_back({"e" + std::to_string(number), "10.0.0.1:7"});
  std::vector<std::unique_ptr<scheduler_driver>> entries;
  for (std::size_t number = 0; number < kEntries; ++number) {
    auto& entry = *entries.emplace_back(std::make_unique<scheduler_driver>());
    entry.Configure();
    entry.Handle(members_received{members});
    entry.SendHeartbeat(1);
    auto job = scheduler_driver::MakeJob(1, "j");
    job.steps.push_back(job.steps[0]);
    job.steps[1].count = kWaitingTasks;
    job.steps[1].after = {0};
    entry.Handle(job);
    const auto first = entry.TakeDispatched();
    ASSERT_EQ(first.size(), 1U);
    entry.Handle(evacuations_received{{{"palermo", 5, true}}, {}, {}});
    entry.Report(first[0], wire::run_end::kDone);
    EXPECT_TRUE(entry.TakeDispatched().empty());
  }
  std::size_t at_once = 0;
  for (const auto& entry : entries) {
    entry->Handle(evacuations_received{{{"palermo", 6, false}}, {}, {}});
    const std::size_t dispatched = entry->TakeDispatched().size();
    EXPECT_GT(dispatched, 0U);
    at_once += dispatched;
  }
  EXPECT_LE(at_once, kCapacity);
  // Load reports release the rest.
  scheduler_driver& entry = *entries.front();
  std::size_t dispatched = 1;
  for (std::size_t report = 0; report < 5; ++report) {
    entry.AdvanceTime(milliseconds(20));
    entry.SendHeartbeat(1);
    dispatched += entry.TakeDispatched().size();
  }
  EXPECT_EQ(dispatched, 6U);
  entry.AdvanceTimeWithHeartbeats(seconds(1), {1});
  EXPECT_EQ(dispatched + entry.TakeDispatched().size(), kWaitingTasks);
}

// Guards against a limit that lasts, and against a task larger than the share
// that is never placed.
TEST(JobSchedulerDomainReturn, LimitIsShortAndAllowsOneTask) {
  returned_worker worker{milliseconds(10), 16000, 0, 8};
  EXPECT_TRUE(MayDispatchAfterReturn(worker, 16000));
  worker.unacknowledged_cpu = 1000;
  EXPECT_TRUE(MayDispatchAfterReturn(worker, 1000));
  EXPECT_FALSE(MayDispatchAfterReturn(worker, 1001));
  worker.since_return = seconds(1);
  EXPECT_TRUE(MayDispatchAfterReturn(worker, 16000));
}

// Guards against tasks that go back and forth between the workers of a domain
// whose evacuation this entry has not learned of yet.
TEST_F(JobSchedulerEvacuation, UsesNoAgentThatRefusesUntilItsNextHeartbeat) {
  driver_.Handle(scheduler_driver::MakeJob(1, "j"));
  const auto dispatched = driver_.TakeDispatched();
  ASSERT_EQ(dispatched.size(), 1U);
  ASSERT_EQ(dispatched[0].agent, "a1");
  driver_.Report(dispatched[0], wire::run_end::kRefused,
                 wire::run_reason::kEvacuated);
  driver_.Handle(scheduler_driver::MakeJob(2, "k"));
  EXPECT_EQ(TakeAgents(), (std::vector<std::string>{"a2", "a2"}));
  SendHeartbeat(1, "palermo");
  driver_.Handle(scheduler_driver::MakeJob(3, "l"));
  EXPECT_EQ(TakeAgents(), std::vector<std::string>{"a1"});
}

// Guards against refusing jobs because the only workers outside the evacuated
// domain have not been heard of for a moment.
TEST_F(JobSchedulerEvacuation, WaitsForASilentWorkerOutsideTheDomain) {
  Receive({{"enna", 4, true}});
  for (int second = 0; second < 4; ++second) {
    driver_.AdvanceTime(seconds(1));
    SendHeartbeat(2, "enna");
  }
  driver_.Handle(scheduler_driver::MakeJob(1, "j"));
  EXPECT_FALSE(driver_.AnswerFor(1).has_value());
}

}  // namespace
}  // namespace egretrack::scheduler
