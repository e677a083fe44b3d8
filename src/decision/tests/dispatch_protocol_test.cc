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

// Runs the entry core against agent cores over connections that break, with
// agents that pause or are replaced.
namespace egretrack::decision {
namespace {

using task_key = std::pair<job_id, task_index>;

constexpr milliseconds kStepDuration{10};

// An agent with its endpoint and its connection to the entry.
struct simulated_agent {
  std::unique_ptr<agent_core> core;
  std::vector<agent_command> commands;
  std::uint64_t link = 0;          // Link of the current connection.
  bool connection_cut = false;     // Messages are lost.
  std::uint64_t delayed_link = 0;  // Its frames are delayed; 0 for none.
  std::deque<wire::entry_frame> delayed_frames;
  bool paused = false;
  double clock_rate = 1;
  microseconds clock_offset{0};
  std::deque<wire::entry_frame> inbox;
  std::map<task_key, int> running;  // Remaining steps at the endpoint.
};

class protocol_simulation {
 public:
  protocol_simulation() : entry_(entry_core::Create(MakeOptions()).value()) {
    SendToEntry(configuration_received{
        std::make_shared<const objects::configuration>(MakeConfiguration(1))});
    for (std::size_t i = 0; i < agents_.size(); ++i) {
      agents_[i].clock_rate = 1 + 0.0005 * static_cast<double>(i);
      agents_[i].clock_offset = seconds(100 * i);
      ReplaceAgent(agents_[i]);
    }
  }

  void RunRandomAction() {
    using action = void (protocol_simulation::*)();
    static constexpr action kActions[] = {
        &protocol_simulation::SubmitJob,
        &protocol_simulation::SubmitJob,
        &protocol_simulation::CutConnection,
        &protocol_simulation::PauseAgent,
        &protocol_simulation::DelayLink,
        &protocol_simulation::RestoreRandomAgent,
        &protocol_simulation::RestoreRandomAgent,
        &protocol_simulation::ReplaceRandomAgent};
    (this->*kActions[RandomBelow(std::size(kActions))])();
    RunSteps(static_cast<int>(RandomBelow(60)));
  }

  void FinishAllJobs() {
    for (simulated_agent& agent : agents_)
      RestoreAgent(agent);
    RunSteps(600);
    RC_ASSERT(answers_.size() == submitted_jobs_);
    for (const auto& [caller, answer] : answers_)
      CheckAnswer(*answer);
  }

 private:
  static std::size_t RandomBelow(std::size_t bound) {
    return *rc::gen::inRange<std::size_t>(0, bound);
  }
  simulated_agent& RandomAgent() {
    return agents_[RandomBelow(agents_.size())];
  }

  void SubmitJob() {
    submit_request request;
    request.caller = caller_token{++submitted_jobs_};
    request.job = {"find", "", std::nullopt,
                   std::vector<std::string>(1 + RandomBelow(20), "p")};
    SendToEntry(std::move(request));
  }
  void CutConnection() { RandomAgent().connection_cut = true; }
  void PauseAgent() { RandomAgent().paused = true; }
  // Frames on the current link arrive only when the agent is restored, possibly
  // after those of the next link.
  void DelayLink() {
    simulated_agent& agent = RandomAgent();
    agent.delayed_link = agent.link;
  }
  void RestoreRandomAgent() { RestoreAgent(RandomAgent()); }
  static void RestoreAgent(simulated_agent& agent) {
    agent.connection_cut = false;
    agent.paused = false;
    agent.delayed_link = 0;
    for (wire::entry_frame& frame : std::exchange(agent.delayed_frames, {}))
      agent.inbox.push_back(std::move(frame));
  }
  void ReplaceRandomAgent() { ReplaceAgent(RandomAgent()); }

  // Replaces the agent process by a new incarnation. The old incarnation's
  // tasks at the endpoint are no longer reported.
  void ReplaceAgent(simulated_agent& agent) {
    agent_options options;
    options.agent = "a" + std::to_string(&agent - agents_.data());
    options.agent_incarnation = incarnation{++last_incarnation_};
    options.slots = 2;
    agent.core = agent_core::Create(options).value();
    agent.commands.clear();
    agent.inbox.clear();
    agent.delayed_frames.clear();
    agent.delayed_link = 0;
    agent.running.clear();
  }

  void RunSteps(int steps) {
    for (int step = 0; step < steps; ++step) {
      now_ += kStepDuration;
      for (simulated_agent& agent : agents_) {
        if (!agent.paused)
          RunAgent(agent);
      }
      entry_->Advance(now_, wall_, commands_);
      ProcessEntryCommands();
    }
  }

  void RunAgent(simulated_agent& agent) {
    const auto elapsed = static_cast<double>(now_.time_since_epoch().count());
    const monotonic_time now{
        microseconds(static_cast<std::int64_t>(elapsed * agent.clock_rate)) +
        agent.clock_offset};
    agent.core->Handle(endpoint_announced{"turni", "127.0.0.1", 1}, now,
                       agent.commands);
    for (; !agent.inbox.empty(); agent.inbox.pop_front()) {
      agent.core->Handle(
          entry_frame_received{0, std::move(agent.inbox.front())}, now,
          agent.commands);
    }
    EndDueTasks(agent, now);
    agent.core->Advance(now, agent.commands);
    ProcessAgentCommands(agent);
  }

  void EndDueTasks(simulated_agent& agent, monotonic_time now) {
    for (auto task = agent.running.begin(); task != agent.running.end();) {
      if (--task->second > 0) {
        ++task;
        continue;
      }
      task_ended ended{task->first.first, task->first.second,
                       wire::task_state::kFinished, wire::task_reason::kNone,
                       "done"};
      if (RandomBelow(50) == 0) {
        ended.state = wire::task_state::kFailed;
        ended.reason = wire::task_reason::kEndpointFailed;
      }
      task = agent.running.erase(task);
      agent.core->Handle(std::move(ended), now, agent.commands);
    }
  }

  void ProcessAgentCommands(simulated_agent& agent) {
    for (agent_command& command : std::exchange(agent.commands, {})) {
      if (std::get_if<open_connection>(&command) != nullptr)
        agent.link = ++last_link_;
      if (auto* send = std::get_if<send_to_entry>(&command);
          send && !agent.connection_cut)
        Deliver(agent, *send);
      if (const auto* start = std::get_if<start_task>(&command)) {
        const task_key key{start->job, start->task};
        RC_ASSERT(started_tasks_.insert(key).second);
        RC_ASSERT(now_ < deadlines_.at(start->job));
        agent.running[key] = 1 + static_cast<int>(RandomBelow(40));
      }
    }
  }

  void Deliver(simulated_agent& agent, send_to_entry& send) {
    wire::agent_frame frame{send.connection, {std::move(send.message)}};
    SendToEntry(agent_frame_received{link_id{agent.link}, std::move(frame)});
  }

  void SendToEntry(entry_event event) {
    entry_->Handle(std::move(event), now_, wall_, commands_);
    ProcessEntryCommands();
  }

  void ProcessEntryCommands() {
    for (entry_command& command : std::exchange(commands_, {})) {
      if (auto* send = std::get_if<send_to_agent>(&command))
        SendToAgent(*send);
      if (const auto* accepted = std::get_if<job_id_assigned>(&command))
        deadlines_[accepted->id] = now_ + objects::request_kind().deadline;
      if (const auto* answer = std::get_if<answer_caller>(&command))
        RC_ASSERT(answers_.emplace(answer->caller, answer->answer).second);
    }
  }

  void SendToAgent(send_to_agent& send) {
    const auto link = static_cast<std::uint64_t>(send.link);
    for (simulated_agent& agent : agents_) {
      if (agent.connection_cut ||
          (link != agent.link && link != agent.delayed_link))
        continue;
      auto& queue =
          link == agent.delayed_link ? agent.delayed_frames : agent.inbox;
      queue.push_back({send.connection, {std::move(send.message)}});
    }
  }

  void CheckAnswer(const job_answer& answer) const {
    RC_ASSERT(answer.outcome != job_outcome::kPending);
    for (task_index task = 0; task < answer.tasks.size(); ++task) {
      const bool ran = started_tasks_.count({answer.id, task}) == 1;
      const task_outcome outcome = answer.tasks[task].outcome;
      RC_ASSERT(!(ran && outcome == task_outcome::kNotRun));
      RC_ASSERT(ran || outcome != task_outcome::kFinished);
      if (answer.outcome == job_outcome::kAnswered)
        RC_ASSERT(answer.tasks[task].result == "done");
    }
    if (answer.outcome == job_outcome::kRefused) {
      const auto first = started_tasks_.lower_bound({answer.id, 0});
      RC_ASSERT(first == started_tasks_.end() || first->first != answer.id);
    }
  }

  monotonic_time now_{seconds(1)};
  const wall_time wall_{};
  std::unique_ptr<entry_core> entry_;
  std::vector<entry_command> commands_;
  std::array<simulated_agent, 2> agents_;
  std::uint64_t last_link_ = 0;
  std::uint64_t last_incarnation_ = 0;
  std::uint64_t submitted_jobs_ = 0;
  std::map<caller_token, job_answer_ptr> answers_;
  std::map<job_id, monotonic_time> deadlines_;
  std::set<task_key> started_tasks_;  // Every start at an endpoint.
};

// Guards against a second start of a task, a start after the deadline, a job
// without exactly one answer, an incomplete answer, and the refusal of a job
// with started tasks, for any sequence of faults between the two cores.
TEST(DispatchProtocol, GuaranteesHoldBetweenEntryAndAgents) {
  EXPECT_TRUE(rc::check("faults", [] {
    protocol_simulation simulation;
    const auto actions = *rc::gen::inRange(0, 25);
    for (int action = 0; action < actions; ++action)
      simulation.RunRandomAction();
    simulation.FinishAllJobs();
  }));
}

}  // namespace
}  // namespace egretrack::decision
