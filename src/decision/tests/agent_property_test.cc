#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "decision/tests/agent_driver.h"
#include "egretrack/decision/agent_core.h"

// Generated sequences of events: duplicated, reordered and delayed dispatches,
// late replies, lost credits, jumps of time.
namespace egretrack::decision {
namespace {

using task_name = std::pair<job_id, task_index>;

class agent_model {
 public:
  explicit agent_model(const agent_options& options)
      : options_(options), agent_(options) {}

  void Step() {
    using action = void (agent_model::*)();
    static constexpr action kActions[] = {
        &agent_model::Pass,        &agent_model::Pass,
        &agent_model::Jump,        &agent_model::Reply,
        &agent_model::Reply,       &agent_model::ReplyLate,
        &agent_model::DispatchNew, &agent_model::DispatchNew,
        &agent_model::DispatchNew, &agent_model::DispatchAgain,
        &agent_model::Query,       &agent_model::Cancel,
        &agent_model::Lookup,      &agent_model::Release,
        &agent_model::End,         &agent_model::End,
        &agent_model::Announce,    &agent_model::Announce,
        &agent_model::Withdraw,    &agent_model::SendOnOldConnection};
    (this->*kActions[Below(std::size(kActions))])();
    CheckCommands();
    CheckCredits();
  }

  // Every started task ends, and the agent then finishes its drain.
  void Drain() {
    agent_.Handle(agent_drain{});
    CheckCommands();
    const std::size_t starts = started_.size();
    while (!running_.empty()) {
      End();
      CheckCommands();
    }
    RC_ASSERT(started_.size() <= starts + options_.overcommit);
    agent_.Pass(seconds(2));
    RC_ASSERT(agent_.Commands<agent_drain_finished>().size() == 1U);
  }

 private:
  static constexpr std::uint64_t kJobPeriodMs = 30000;

  static std::size_t Below(std::size_t bound) {
    return *rc::gen::inRange<std::size_t>(0, bound);
  }
  entry_index Entry() const {
    return static_cast<entry_index>(Below(options_.entries));
  }

  // Homes send a job's tasks within its deadline only, so that the jobs in use
  // change every 30 s; copies and queries may come at any time.
  job_id Job(entry_index entry) const {
    const std::uint64_t period = agent_.HomeMs() / kJobPeriodMs;
    const std::uint64_t back = Below(10) == 0 ? Below(6) : 0;
    return agent_driver::JobOf(entry, Below(8), (period - back) * kJobPeriodMs);
  }

  void Pass() { agent_.Pass(milliseconds(Below(400))); }
  void Jump() { agent_.Pass(seconds(Below(130))); }
  void Reply() { agent_.Reply(Entry(), static_cast<std::uint32_t>(Below(6))); }

  // A reply to any earlier heartbeat, with a time at which it may have left.
  void ReplyLate() {
    const entry_index entry = Entry();
    const auto heartbeats = agent_.Sent<wire::heartbeat>(entry);
    const auto& answered = heartbeats[Below(heartbeats.size())];
    agent_.Deliver(entry, wire::heartbeat_reply{
                              agent_driver::EntryName(entry), incarnation{7},
                              answered.sequence, agent_.HomeNow(), 0, "", 1});
  }

  void DispatchNew() {
    const entry_index entry = Entry();
    auto dispatch = agent_.Dispatch(entry, 0, Below(3));
    dispatch.job = agent_driver::JobOf(
        entry, Below(8), agent_.HomeMs() / kJobPeriodMs * kJobPeriodMs);
    dispatch.start_by = agent_.HomeNow() + milliseconds(Below(2000));
    dispatch.queue_length = static_cast<std::uint32_t>(Below(4));
    sent_.emplace_back(entry, dispatch);
    if (Below(3) > 0)
      Deliver(sent_.back());
  }

  void DispatchAgain() {
    if (!sent_.empty())
      Deliver(sent_[Below(sent_.size())]);
  }

  void Deliver(const std::pair<entry_index, wire::dispatch>& sent) {
    const auto& [entry, dispatch] = sent;
    auto& limit = start_by_[{dispatch.job, dispatch.task}];
    limit = std::max(limit, dispatch.start_by);
    agent_.Deliver(entry, dispatch);
  }

  void Query() {
    const entry_index entry = Entry();
    agent_.Deliver(
        entry, wire::task_query{Job(entry), static_cast<task_index>(Below(3)),
                                10, dispatch_number{1}});
  }
  void Cancel() {
    const entry_index entry = Entry();
    agent_.Deliver(entry, wire::job_cancel{Job(entry)});
  }
  void Lookup() { agent_.Deliver(Entry(), wire::job_lookup{1, Job(Entry())}); }
  void Release() { agent_.Deliver(Entry(), wire::release{Below(5)}); }
  void Announce() { agent_.Announce(); }
  void Withdraw() { agent_.Handle(endpoint_withdrawn{}); }

  void SendOnOldConnection() {
    const entry_index entry = Entry();
    const auto number = static_cast<std::uint64_t>(agent_.Connection(entry));
    agent_.Handle(entry_frame_received{
        entry, {connection_number{number - 1}, {agent_.Dispatch(entry, 99)}}});
  }

  void End() {
    if (running_.empty())
      return;
    const auto ended = std::next(running_.begin(), Below(running_.size()));
    const auto [job, task] = *ended;
    running_.erase(ended);
    static constexpr wire::task_state kStates[] = {
        wire::task_state::kFinished, wire::task_state::kRefused,
        wire::task_state::kFailed, wire::task_state::kCut};
    const wire::task_state state = kStates[Below(std::size(kStates))];
    if (state == wire::task_state::kRefused)
      endpoint_refused_.insert({job, task});
    agent_.End(job, task, state);
  }

  void CheckCommands() {
    for (; checked_ < agent_.commands.size(); ++checked_) {
      const agent_command& command = agent_.commands[checked_];
      if (const auto* start = std::get_if<start_task>(&command))
        CheckStart(*start);
      if (const auto* send = std::get_if<send_to_entry>(&command)) {
        if (const auto* report = std::get_if<wire::task_report>(&send->message))
          CheckReport(*report);
      }
    }
  }

  void CheckStart(const start_task& start) {
    const task_name name{start.job, start.task};
    RC_ASSERT(started_.insert(name).second);
    RC_ASSERT(refused_.count(name) == 0U);
    RC_ASSERT(agent_.HomeNow() < start_by_[name]);
    RC_ASSERT(start.job.random != 99U);
    running_.insert(name);
  }

  void CheckReport(const wire::task_report& report) {
    const task_name name{report.job, report.task};
    const bool refused = report.state == wire::task_state::kRefused;
    // Only the endpoint's own refusal may follow a start.
    RC_ASSERT(started_.count(name) ==
              (refused ? endpoint_refused_.count(name) : 1U));
    if (refused)
      refused_.insert(name);
  }

  void CheckCredits() {
    const agent_report report = agent_.Report();
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
  std::vector<std::pair<entry_index, wire::dispatch>> sent_;
  std::map<task_name, monotonic_time> start_by_;  // Of the latest copy.
  std::set<task_name> started_;
  std::set<task_name> refused_;
  std::set<task_name> running_;
  std::set<task_name> endpoint_refused_;
  std::size_t checked_ = 0;
};

// Guards at-most-once start, start_by, the truth of refusals, the credit
// invariant and drain under any order of events, with and without credits.
TEST(AgentCoreProperty, GuaranteesHoldInAnyOrder) {
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
        model.Step();
      if (!push)
        model.Drain();
    }));
  }
}

}  // namespace
}  // namespace egretrack::decision
