#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "decision/tests/entry_fixture.h"
#include "egretrack/decision/agent_core.h"
#include "egretrack/decision/entry_core.h"

// The entry core and the agent core against each other, over connections that
// break, with agents that pause or are replaced.
namespace egretrack::decision {
namespace {

using task_name = std::pair<job_id, task_index>;

constexpr milliseconds kStep{10};

// One agent with its endpoint and its connection to the entry.
struct agent_node {
  std::unique_ptr<agent_core> core;
  std::vector<agent_command> commands;
  std::uint64_t link = 0;  // Of the present connection.
  bool cut = false;        // Messages are lost.
  std::uint64_t slow = 0;  // The link whose frames come late, if any.
  std::deque<wire::entry_frame> late;
  bool paused = false;
  double rate = 1;  // Of its clock.
  microseconds ahead{0};
  std::deque<wire::entry_frame> inbox;
  std::map<task_name, int> running;  // Steps left at the endpoint.
};

class dispatch_pair {
 public:
  dispatch_pair() : entry_(entry_core::Create(MakeOptions()).value()) {
    ToEntry(configuration_received{
        std::make_shared<const objects::configuration>(MakeConfiguration(1))});
    for (std::size_t i = 0; i < agents_.size(); ++i) {
      agents_[i].rate = 1 + 0.0005 * static_cast<double>(i);
      agents_[i].ahead = seconds(100 * i);
      Replace(agents_[i]);
    }
  }

  void Act() {
    using action = void (dispatch_pair::*)();
    static constexpr action kActions[] = {
        &dispatch_pair::Submit, &dispatch_pair::Submit,    &dispatch_pair::Cut,
        &dispatch_pair::Pause,  &dispatch_pair::Slow,      &dispatch_pair::Heal,
        &dispatch_pair::Heal,   &dispatch_pair::ReplaceOne};
    (this->*kActions[Below(std::size(kActions))])();
    Run(static_cast<int>(Below(60)));
  }

  void Finish() {
    for (agent_node& agent : agents_)
      HealOne(agent);
    Run(600);
    RC_ASSERT(answers_.size() == submitted_);
    for (const auto& [caller, answer] : answers_)
      CheckAnswer(*answer);
  }

 private:
  static std::size_t Below(std::size_t bound) {
    return *rc::gen::inRange<std::size_t>(0, bound);
  }
  agent_node& Any() { return agents_[Below(agents_.size())]; }

  void Submit() {
    submit_request request;
    request.caller = caller_token{++submitted_};
    request.job = {"find", "", std::nullopt,
                   std::vector<std::string>(1 + Below(20), "p")};
    ToEntry(std::move(request));
  }
  void Cut() { Any().cut = true; }
  void Pause() { Any().paused = true; }
  // Frames of the present connection arrive only when it heals, by then maybe
  // after those of the next one.
  void Slow() {
    agent_node& agent = Any();
    agent.slow = agent.link;
  }
  void Heal() { HealOne(Any()); }
  static void HealOne(agent_node& agent) {
    agent.cut = false;
    agent.paused = false;
    agent.slow = 0;
    for (wire::entry_frame& frame : std::exchange(agent.late, {}))
      agent.inbox.push_back(std::move(frame));
  }
  void ReplaceOne() { Replace(Any()); }

  // The process dies and another takes its place; what the endpoint runs goes
  // on unseen.
  void Replace(agent_node& agent) {
    agent_options options;
    options.agent = "a" + std::to_string(&agent - agents_.data());
    options.agent_incarnation = incarnation{++last_incarnation_};
    options.slots = 2;
    agent.core = agent_core::Create(options).value();
    agent.commands.clear();
    agent.inbox.clear();
    agent.late.clear();
    agent.slow = 0;
    agent.running.clear();
  }

  void Run(int steps) {
    for (int step = 0; step < steps; ++step) {
      now_ += kStep;
      for (agent_node& agent : agents_) {
        if (!agent.paused)
          RunAgent(agent);
      }
      entry_->Advance(now_, wall_, commands_);
      TakeEntryCommands();
    }
  }

  void RunAgent(agent_node& agent) {
    const auto elapsed = static_cast<double>(now_.time_since_epoch().count());
    const monotonic_time now{
        microseconds(static_cast<std::int64_t>(elapsed * agent.rate)) +
        agent.ahead};
    agent.core->Handle(endpoint_announced{"turni", "127.0.0.1", 1}, now,
                       agent.commands);
    for (; !agent.inbox.empty(); agent.inbox.pop_front()) {
      agent.core->Handle(
          entry_frame_received{0, std::move(agent.inbox.front())}, now,
          agent.commands);
    }
    EndTasks(agent, now);
    agent.core->Advance(now, agent.commands);
    TakeAgentCommands(agent);
  }

  void EndTasks(agent_node& agent, monotonic_time now) {
    for (auto task = agent.running.begin(); task != agent.running.end();) {
      if (--task->second > 0) {
        ++task;
        continue;
      }
      task_ended ended{task->first.first, task->first.second,
                       wire::task_state::kFinished, wire::task_reason::kNone,
                       "done"};
      if (Below(50) == 0) {
        ended.state = wire::task_state::kFailed;
        ended.reason = wire::task_reason::kEndpointFailed;
      }
      task = agent.running.erase(task);
      agent.core->Handle(std::move(ended), now, agent.commands);
    }
  }

  void TakeAgentCommands(agent_node& agent) {
    for (agent_command& command : std::exchange(agent.commands, {})) {
      if (std::get_if<open_connection>(&command) != nullptr)
        agent.link = ++last_link_;
      if (auto* send = std::get_if<send_to_entry>(&command); send && !agent.cut)
        Deliver(agent, *send);
      if (const auto* start = std::get_if<start_task>(&command)) {
        const task_name name{start->job, start->task};
        RC_ASSERT(ledger_.insert(name).second);
        RC_ASSERT(now_ < deadlines_.at(start->job));
        agent.running[name] = 1 + static_cast<int>(Below(40));
      }
    }
  }

  void Deliver(agent_node& agent, send_to_entry& send) {
    wire::agent_frame frame{send.connection, {std::move(send.message)}};
    ToEntry(agent_frame_received{link_id{agent.link}, std::move(frame)});
  }

  void ToEntry(entry_event event) {
    entry_->Handle(std::move(event), now_, wall_, commands_);
    TakeEntryCommands();
  }

  void TakeEntryCommands() {
    for (entry_command& command : std::exchange(commands_, {})) {
      if (auto* send = std::get_if<send_to_agent>(&command))
        ToAgent(*send);
      if (const auto* accepted = std::get_if<job_id_assigned>(&command))
        deadlines_[accepted->id] = now_ + objects::request_kind().deadline;
      if (const auto* answer = std::get_if<answer_caller>(&command))
        RC_ASSERT(answers_.emplace(answer->caller, answer->answer).second);
    }
  }

  void ToAgent(send_to_agent& send) {
    const auto link = static_cast<std::uint64_t>(send.link);
    for (agent_node& agent : agents_) {
      if (agent.cut || (link != agent.link && link != agent.slow))
        continue;
      auto& queue = link == agent.slow ? agent.late : agent.inbox;
      queue.push_back({send.connection, {std::move(send.message)}});
    }
  }

  void CheckAnswer(const job_answer& answer) const {
    RC_ASSERT(answer.outcome != job_outcome::kPending);
    for (task_index task = 0; task < answer.tasks.size(); ++task) {
      const bool ran = ledger_.count({answer.id, task}) == 1;
      const task_outcome outcome = answer.tasks[task].outcome;
      RC_ASSERT(!(ran && outcome == task_outcome::kNotRun));
      RC_ASSERT(ran || outcome != task_outcome::kFinished);
      if (answer.outcome == job_outcome::kAnswered)
        RC_ASSERT(answer.tasks[task].result == "done");
    }
    if (answer.outcome == job_outcome::kRefused) {
      const auto first = ledger_.lower_bound({answer.id, 0});
      RC_ASSERT(first == ledger_.end() || first->first != answer.id);
    }
  }

  monotonic_time now_{seconds(1)};
  const wall_time wall_{};
  std::unique_ptr<entry_core> entry_;
  std::vector<entry_command> commands_;
  std::array<agent_node, 2> agents_;
  std::uint64_t last_link_ = 0;
  std::uint64_t last_incarnation_ = 0;
  std::uint64_t submitted_ = 0;
  std::map<caller_token, job_answer_ptr> answers_;
  std::map<job_id, monotonic_time> deadlines_;
  std::set<task_name> ledger_;  // Every start at an endpoint.
};

// Guards at-most-once start, no start after the deadline, one answer for each
// job, whole answers and truthful refusals between the two cores.
TEST(DispatchProtocol, GuaranteesHoldBetweenEntryAndAgents) {
  EXPECT_TRUE(rc::check("faults", [] {
    dispatch_pair pair;
    const auto actions = *rc::gen::inRange(0, 25);
    for (int action = 0; action < actions; ++action)
      pair.Act();
    pair.Finish();
  }));
}

}  // namespace
}  // namespace egretrack::decision
