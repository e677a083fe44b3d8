#include <gtest/gtest.h>

#include "egretrack/scheduler/evacuation_map.h"
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

}  // namespace
}  // namespace egretrack::scheduler
