#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "decision/tests/agent_driver.h"
#include "egretrack/decision/agent_core.h"

// Runs the agent core on generated event sequences with duplicated, reordered
// and delayed dispatches, late replies, lost credits and jumps of time.
namespace egretrack::decision {
namespace {

using task_key = std::pair<job_id, task_index>;

class agent_model {
 public:
  explicit agent_model(const agent_options& options)
      : options_(options), agent_(options) {}

  void RunRandomAction() {
    using action = void (agent_model::*)();
    static constexpr action kActions[] = {
        &agent_model::AdvanceTime,      &agent_model::AdvanceTime,
        &agent_model::AdvanceTimeFar,   &agent_model::ReplyToHeartbeat,
        &agent_model::ReplyToHeartbeat, &agent_model::ReplyToOldHeartbeat,
        &agent_model::SendNewDispatch,  &agent_model::SendNewDispatch,
        &agent_model::SendNewDispatch,  &agent_model::ResendDispatch,
        &agent_model::SendQuery,        &agent_model::SendCancel,
        &agent_model::SendLookup,       &agent_model::SendRelease,
        &agent_model::EndRandomTask,    &agent_model::EndRandomTask,
        &agent_model::AnnounceEndpoint, &agent_model::AnnounceEndpoint,
        &agent_model::WithdrawEndpoint, &agent_model::SendOnOldConnection};
    (this->*kActions[RandomBelow(std::size(kActions))])();
    CheckCommands();
    CheckCapacity();
  }

  // Drains the agent, ends every started task and checks that the drain
  // finishes.
  void Drain() {
    agent_.Handle(agent_drain{});
    CheckCommands();
    const std::size_t starts = started_.size();
    while (!running_.empty()) {
      EndRandomTask();
      CheckCommands();
    }
    RC_ASSERT(started_.size() <= starts + options_.overcommit);
    agent_.AdvanceTime(seconds(2));
    RC_ASSERT(agent_.Commands<agent_drain_finished>().size() == 1U);
  }

 private:
  static constexpr std::uint64_t kJobPeriodMs = 30000;

  static std::size_t RandomBelow(std::size_t bound) {
    return *rc::gen::inRange<std::size_t>(0, bound);
  }
  entry_index RandomEntry() const {
    return static_cast<entry_index>(RandomBelow(options_.entries));
  }

  // Home entries send a job's tasks only within its deadline, so the job ids in
  // use change every 30 s. Duplicates and queries may arrive at any time.
  job_id RandomJob(entry_index entry) const {
    const std::uint64_t period = agent_.HomeMs() / kJobPeriodMs;
    const std::uint64_t periods_back =
        RandomBelow(10) == 0 ? RandomBelow(6) : 0;
    return agent_driver::JobOf(entry, RandomBelow(8),
                               (period - periods_back) * kJobPeriodMs);
  }

  void AdvanceTime() { agent_.AdvanceTime(milliseconds(RandomBelow(400))); }
  void AdvanceTimeFar() { agent_.AdvanceTime(seconds(RandomBelow(130))); }
  void ReplyToHeartbeat() {
    agent_.ReplyToHeartbeat(RandomEntry(),
                            static_cast<std::uint32_t>(RandomBelow(6)));
  }

  // Replies to any earlier heartbeat; the reply carries the current home time.
  void ReplyToOldHeartbeat() {
    const entry_index entry = RandomEntry();
    const auto heartbeats = agent_.Sent<wire::heartbeat>(entry);
    const auto& answered = heartbeats[RandomBelow(heartbeats.size())];
    agent_.Deliver(entry, wire::heartbeat_reply{
                              agent_driver::EntryName(entry), incarnation{7},
                              answered.sequence, agent_.HomeNow(), 0, "", 1});
  }

  void SendNewDispatch() {
    const entry_index entry = RandomEntry();
    auto dispatch = agent_.MakeDispatch(entry, 0, RandomBelow(3));
    dispatch.job = agent_driver::JobOf(
        entry, RandomBelow(8), agent_.HomeMs() / kJobPeriodMs * kJobPeriodMs);
    dispatch.start_by = agent_.HomeNow() + milliseconds(RandomBelow(2000));
    dispatch.queue_length = static_cast<std::uint32_t>(RandomBelow(4));
    sent_dispatches_.emplace_back(entry, dispatch);
    if (RandomBelow(3) > 0)
      Deliver(sent_dispatches_.back());
  }

  void ResendDispatch() {
    if (!sent_dispatches_.empty())
      Deliver(sent_dispatches_[RandomBelow(sent_dispatches_.size())]);
  }

  void Deliver(const std::pair<entry_index, wire::dispatch>& sent) {
    const auto& [entry, dispatch] = sent;
    auto& limit = start_by_[{dispatch.job, dispatch.task}];
    limit = std::max(limit, dispatch.start_by);
    agent_.Deliver(entry, dispatch);
  }

  void SendQuery() {
    const entry_index entry = RandomEntry();
    agent_.Deliver(entry,
                   wire::task_query{RandomJob(entry),
                                    static_cast<task_index>(RandomBelow(3)), 10,
                                    dispatch_number{1}});
  }
  void SendCancel() {
    const entry_index entry = RandomEntry();
    agent_.Deliver(entry, wire::job_cancel{RandomJob(entry)});
  }
  void SendLookup() {
    agent_.Deliver(RandomEntry(),
                   wire::job_lookup{1, RandomJob(RandomEntry())});
  }
  void SendRelease() {
    agent_.Deliver(RandomEntry(), wire::release{RandomBelow(5)});
  }
  void AnnounceEndpoint() { agent_.AnnounceEndpoint(); }
  void WithdrawEndpoint() { agent_.Handle(endpoint_withdrawn{}); }

  void SendOnOldConnection() {
    const entry_index entry = RandomEntry();
    const auto number = static_cast<std::uint64_t>(agent_.Connection(entry));
    agent_.Handle(entry_frame_received{
        entry,
        {connection_number{number - 1}, {agent_.MakeDispatch(entry, 99)}}});
  }

  void EndRandomTask() {
    if (running_.empty())
      return;
    const auto ended =
        std::next(running_.begin(), RandomBelow(running_.size()));
    const auto [job, task] = *ended;
    running_.erase(ended);
    static constexpr wire::task_state kStates[] = {
        wire::task_state::kFinished, wire::task_state::kRefused,
        wire::task_state::kFailed, wire::task_state::kCut};
    const wire::task_state state = kStates[RandomBelow(std::size(kStates))];
    if (state == wire::task_state::kRefused)
      endpoint_refused_.insert({job, task});
    agent_.EndTask(job, task, state);
  }

  void CheckCommands() {
    for (; checked_commands_ < agent_.commands.size(); ++checked_commands_) {
      const agent_command& command = agent_.commands[checked_commands_];
      if (const auto* start = std::get_if<start_task>(&command))
        CheckStart(*start);
      if (const auto* send = std::get_if<send_to_entry>(&command)) {
        if (const auto* report = std::get_if<wire::task_report>(&send->message))
          CheckReport(*report);
      }
    }
  }

  void CheckStart(const start_task& start) {
    const task_key key{start.job, start.task};
    RC_ASSERT(started_.insert(key).second);
    RC_ASSERT(refused_.count(key) == 0U);
    RC_ASSERT(agent_.HomeNow() < start_by_[key]);
    RC_ASSERT(start.job.random != 99U);
    running_.insert(key);
  }

  void CheckReport(const wire::task_report& report) {
    const task_key key{report.job, report.task};
    const bool refused = report.state == wire::task_state::kRefused;
    // A task may be refused after its start only by the endpoint.
    RC_ASSERT(started_.count(key) ==
              (refused ? endpoint_refused_.count(key) : 1U));
    if (refused)
      refused_.insert(key);
  }

  void CheckCapacity() {
    const agent_report report = agent_.Status();
    RC_ASSERT(report.slots_in_use <= options_.slots);
    RC_ASSERT(report.slots_in_use == running_.size());
    if (!options_.push) {
      RC_ASSERT(report.slots_in_use + report.tasks_held +
                    report.credits_granted <=
                options_.slots + options_.overcommit);
    }
  }

  const agent_options options_;
  agent_driver agent_;
  std::vector<std::pair<entry_index, wire::dispatch>> sent_dispatches_;
  std::map<task_key, monotonic_time> start_by_;  // Latest of all duplicates.
  std::set<task_key> started_;
  std::set<task_key> refused_;
  std::set<task_key> running_;
  std::set<task_key> endpoint_refused_;
  std::size_t checked_commands_ = 0;
};

// Guards against a second start, a start after start_by, a refusal of a started
// task, more tasks and credits than capacity, and a drain that does not finish,
// under any order of events, with and without credits.
TEST(AgentCoreProperty, GuaranteesHoldForAnyEventOrder) {
  for (const bool push : {false, true}) {
    EXPECT_TRUE(rc::check("event sequences", [push] {
      auto options = agent_driver::Options();
      options.push = push;
      options.entries = 3;
      options.overcommit = 2;
      options.max_records = 16;
      agent_model model(options);
      const auto steps = *rc::gen::inRange(0, 200);
      for (int step = 0; step < steps; ++step)
        model.RunRandomAction();
      if (!push)
        model.Drain();
    }));
  }
}

}  // namespace
}  // namespace egretrack::decision
