#include "decision/tests/entry_simulation.h"

#include <algorithm>
#include <array>

#include "decision/tests/entry_fixture.h"

namespace egretrack::decision {
namespace {

constexpr std::size_t kAgents = 3;
constexpr std::uint64_t kSlots = 2;

}  // namespace

entry_simulation::entry_simulation(routing_policy routing)
    : options_(MakeOptions()) {
  options_.routing = routing;
  options_.admission = false;  // Only deadlines and cancellations refuse.
  StartEntry();
  for (std::size_t i = 0; i < kAgents; ++i) {
    agent& added = agents_.emplace_back();
    added.name = "a" + std::to_string(i);
    added.agent_incarnation = incarnation{100 * (i + 1)};
    Connect(added);
  }
}

void entry_simulation::Perform(const simulation_step& step) {
  // Actions are listed as often as their relative frequency requires.
  static constexpr std::array<action, 24> kActions = {
      &entry_simulation::Submit,
      &entry_simulation::Submit,
      &entry_simulation::Resubmit,
      &entry_simulation::Cancel,
      &entry_simulation::DisconnectCaller,
      &entry_simulation::DeliverToEntry,
      &entry_simulation::DeliverToEntry,
      &entry_simulation::DeliverToEntry,
      &entry_simulation::DeliverToEntry,
      &entry_simulation::DeliverToAgent,
      &entry_simulation::DeliverToAgent,
      &entry_simulation::DeliverToAgent,
      &entry_simulation::DeliverToAgent,
      &entry_simulation::EndTask,
      &entry_simulation::EndTask,
      &entry_simulation::EndTask,
      &entry_simulation::Heartbeat,
      &entry_simulation::Heartbeat,
      &entry_simulation::DropOrRepeatMessage,
      &entry_simulation::Reconnect,
      &entry_simulation::RestartAgent,
      &entry_simulation::AdvanceTime,
      &entry_simulation::AdvanceTime,
      &entry_simulation::Configure};
  // Rare, because a restart ends every open request.
  if (step.action % 100 == 99) {
    RestartEntry(step);
    return;
  }
  (this->*kActions[step.action % kActions.size()])(step);
}

void entry_simulation::StartEntry() {
  core_ = entry_core::Create(options_).value();
  Handle(configuration_received{std::make_shared<const objects::configuration>(
      MakeConfiguration(config_version_))});
}

void entry_simulation::Handle(entry_event event) {
  core_->Handle(std::move(event), now_, wall_time(), commands_);
  ProcessCommands();
}

void entry_simulation::ProcessCommands() {
  for (entry_command& command : commands_) {
    if (auto* sent = std::get_if<send_to_agent>(&command))
      Record(*sent);
    else if (auto* answer = std::get_if<answer_caller>(&command))
      Record(*answer);
    else if (auto* accepted = std::get_if<job_id_assigned>(&command))
      requests_[static_cast<std::uint64_t>(accepted->caller)].id = accepted->id;
  }
  commands_.clear();
}

void entry_simulation::Record(send_to_agent& sent) {
  if (const auto* reply = std::get_if<wire::heartbeat_reply>(&sent.message)) {
    if (reply->config_version < last_sent_version_)
      AddViolation("configuration version decreased");
    last_sent_version_ = reply->config_version;
  }
  if (const auto* task = std::get_if<wire::dispatch>(&sent.message)) {
    if (task->job.home != options_.entry_incarnation)
      AddViolation("dispatched a job of another home entry");
  }
  outbox_.push_back(
      {static_cast<std::uint64_t>(sent.link), std::move(sent.message)});
}

void entry_simulation::Record(answer_caller& answer) {
  const auto found = requests_.find(static_cast<std::uint64_t>(answer.caller));
  if (found != requests_.end())
    found->second.answers.push_back(std::move(answer.answer));
}

// ---- Requests ---------------------------------------------------------------

void entry_simulation::Submit(const simulation_step& step) {
  const std::uint64_t caller = requests_.size() + 1;
  request& added = requests_[caller];
  added.kind = step.target % 3 == 0 ? "read" : "find";
  added.tasks = step.variant % 4 + 1;
  added.deadline = milliseconds(500 + 100 * (step.target % 20));
  submit_request event;
  event.caller = caller_token{caller};
  event.job = {added.kind, "", added.deadline,
               std::vector<std::string>(added.tasks, "p")};
  Handle(std::move(event));
}

void entry_simulation::Resubmit(const simulation_step& step) {
  if (requests_.empty())
    return;
  const request original = requests_[step.target % requests_.size() + 1];
  const std::uint64_t caller = requests_.size() + 1;
  requests_[caller] = {original.id,       original.tasks, original.kind,
                       original.deadline, false,          {}};
  submit_request event;
  event.caller = caller_token{caller};
  event.id = original.id;
  event.forwarded = true;
  event.job = {original.kind, "", original.deadline,
               std::vector<std::string>(original.tasks, "p")};
  Handle(std::move(event));
}

void entry_simulation::Cancel(const simulation_step& step) {
  if (requests_.empty())
    return;
  const job_id id = requests_[step.target % requests_.size() + 1].id;
  Handle(cancel_request{caller_token{~0ULL}, id, true});
}

void entry_simulation::DisconnectCaller(const simulation_step& step) {
  if (requests_.empty())
    return;
  const std::uint64_t caller = step.target % requests_.size() + 1;
  requests_[caller].disconnected = true;
  Handle(caller_gone{caller_token{caller}});
}

// ---- Network ----------------------------------------------------------------

void entry_simulation::DeliverToEntry(const simulation_step& step) {
  if (inbox_.empty())
    return;
  // Mostly in order of sending.
  const std::size_t at =
      step.variant % 4 == 0 ? step.target % inbox_.size() : 0;
  message_to_entry taken = std::move(inbox_[at]);
  inbox_.erase(inbox_.begin() + static_cast<std::ptrdiff_t>(at));
  wire::agent_frame frame{connection_number{taken.connection}, {}};
  frame.messages.push_back(std::move(taken.message));
  Handle(agent_frame_received{link_id{taken.link}, std::move(frame)});
}

void entry_simulation::DeliverToAgent(const simulation_step& step) {
  if (outbox_.empty())
    return;
  const std::size_t at =
      step.variant % 4 == 0 ? step.target % outbox_.size() : 0;
  const message_to_agent taken = std::move(outbox_[at]);
  outbox_.erase(outbox_.begin() + static_cast<std::ptrdiff_t>(at));
  for (agent& receiver : agents_) {
    if (receiver.link != taken.link)
      continue;
    std::visit([&](const auto& message) { Receive(receiver, message); },
               taken.message);
  }
}

void entry_simulation::DropOrRepeatMessage(const simulation_step& step) {
  const bool drop = step.variant % 2 == 0;
  if (step.variant % 4 < 2 && !inbox_.empty()) {
    const auto at = inbox_.begin() +
                    static_cast<std::ptrdiff_t>(step.target % inbox_.size());
    if (drop)
      inbox_.erase(at);
    else
      inbox_.push_back(message_to_entry(*at));
  } else if (!outbox_.empty()) {
    const auto at = outbox_.begin() +
                    static_cast<std::ptrdiff_t>(step.target % outbox_.size());
    // Receive would count a repeated dispatch twice against the credits.
    if (drop)
      outbox_.erase(at);
    else if (!std::holds_alternative<wire::dispatch>(at->message))
      outbox_.push_back(message_to_agent(*at));
  }
}

void entry_simulation::AdvanceTime(const simulation_step& step) {
  now_ += milliseconds(10 * (step.variant % 60));
  core_->Advance(now_, wall_time(), commands_);
  ProcessCommands();
}

void entry_simulation::Configure(const simulation_step& step) {
  config_version_ += step.variant % 2;
  const std::uint64_t version = config_version_ - step.variant % 3 % 2;
  Handle(configuration_received{std::make_shared<const objects::configuration>(
      MakeConfiguration(std::max<std::uint64_t>(version, 1)))});
}

void entry_simulation::RestartEntry(const simulation_step& /*step*/) {
  options_.entry_incarnation =
      incarnation{static_cast<std::uint64_t>(options_.entry_incarnation) + 1};
  last_sent_version_ = 0;
  for (auto& [caller, submitted] : requests_)
    submitted.disconnected = true;
  StartEntry();
  for (agent& each : agents_)
    Connect(each);
}

// ---- Agents -----------------------------------------------------------------

void entry_simulation::Connect(agent& from) {
  ++from.connection;
  from.link = ++last_link_;
  from.granted = 0;
  from.received = 0;
  from.released = 0;
  SendToEntry(from, wire::hello{from.name, from.agent_incarnation, "turni",
                                "rack", kSlots, 0, false});
  Grant(from);
}

void entry_simulation::Reconnect(const simulation_step& step) {
  Connect(agents_[step.target % kAgents]);
}

void entry_simulation::RestartAgent(const simulation_step& step) {
  agent& restarted = agents_[step.target % kAgents];
  restarted.agent_incarnation =
      incarnation{static_cast<std::uint64_t>(restarted.agent_incarnation) + 1};
  restarted.connection = 0;
  restarted.records.clear();
  restarted.running.clear();
  Connect(restarted);
}

void entry_simulation::SendToEntry(const agent& from,
                                   wire::agent_message message) {
  inbox_.push_back({from.link, from.connection, std::move(message)});
}

// Grants credits for the slots that have neither a running task nor an unused
// credit.
void entry_simulation::Grant(agent& from) {
  const std::uint64_t unused_credits =
      from.granted - from.received - from.released;
  const std::uint64_t committed = from.running.size() + unused_credits;
  if (committed < kSlots)
    from.granted += kSlots - committed;
  SendToEntry(from, wire::grant{from.granted});
}

void entry_simulation::Heartbeat(const simulation_step& step) {
  agent& from = agents_[step.target % kAgents];
  SendToEntry(from,
              wire::heartbeat{1, "turni", kSlots, 0, 0, from.granted, false});
}

void entry_simulation::EndTask(const simulation_step& step) {
  agent& from = agents_[step.target % kAgents];
  if (from.running.empty())
    return;
  const task_key key = from.running.front();
  from.running.erase(from.running.begin());
  record& ended = from.records[key];
  ended.state = step.variant % 8 == 0   ? wire::task_state::kFailed
                : step.variant % 8 == 1 ? wire::task_state::kCut
                                        : wire::task_state::kFinished;
  if (ended.state == wire::task_state::kFinished)
    ended.result = ResultOf(key);
  Report(from, key, ended.dispatch);
  Grant(from);
}

void entry_simulation::Report(agent& from,
                              const task_key& key,
                              dispatch_number number) {
  const record& stored = from.records[key];
  wire::task_report report;
  report.job = key.first;
  report.task = key.second;
  report.dispatch = number;
  report.state = stored.state;
  report.granted_total = from.granted;
  report.result = stored.result;
  SendToEntry(from, std::move(report));
}

void entry_simulation::Receive(agent& at, const wire::dispatch& message) {
  if (options_.routing == routing_policy::kCredits &&
      ++at.received + at.released > at.granted) {
    AddViolation("more dispatches than credits");
  }
  const task_key key{message.job, message.task};
  if (!at.records.contains(key)) {
    record& created = at.records[key];
    created.task_count = message.task_count;
    created.dispatch = message.number;
    if (now_ < message.start_by && at.running.size() < kSlots) {
      created.state = wire::task_state::kStarted;
      at.running.push_back(key);
      ++start_counts_[key];
      return;
    }
  }
  Report(at, key, message.number);
  Grant(at);
}

void entry_simulation::Receive(agent& at, const wire::task_query& message) {
  const task_key key{message.job, message.task};
  at.records.try_emplace(key, record{wire::task_state::kRefused,
                                     message.task_count,
                                     message.dispatch,
                                     {}});
  Report(at, key, message.dispatch);
}

void entry_simulation::Receive(agent& at, const wire::job_lookup& message) {
  wire::job_records answer{message.lookup, message.job, {}};
  for (const auto& [key, stored] : at.records) {
    if (key.first == message.job) {
      answer.records.push_back(
          {key.second, stored.task_count, stored.state, {}, stored.result});
    }
  }
  SendToEntry(at, std::move(answer));
}

void entry_simulation::Receive(agent& at, const wire::release& message) {
  at.released = std::max(at.released, message.released_total);
}

// ---- Checks -----------------------------------------------------------------

void entry_simulation::FinishAndCheck() {
  for (int round = 0; round < 80; ++round) {
    for (unsigned i = 0; i < kAgents; ++i) {
      Heartbeat({0, i, 0});
      EndTask({0, i, 7});
    }
    while (!inbox_.empty() || !outbox_.empty()) {
      DeliverToEntry({0, 0, 1});
      DeliverToAgent({0, 0, 1});
    }
    AdvanceTime({0, 0, 5});
  }
  for (const auto& [caller, submitted] : requests_) {
    if (submitted.answers.size() > 1 ||
        (submitted.answers.empty() && !submitted.disconnected))
      AddViolation("a caller got " + std::to_string(submitted.answers.size()) +
                   " answers");
    for (const job_answer_ptr& answer : submitted.answers)
      CheckAnswer(submitted, *answer);
  }
  for (const auto& [caller, submitted] : requests_) {
    const bool may_repeat = submitted.kind == "read" && submitted.tasks == 1;
    for (task_index i = 0; i < submitted.tasks && !may_repeat; ++i) {
      if (StartCount(submitted.id, i) > 1)
        AddViolation("task started twice");
    }
  }
}

void entry_simulation::CheckAnswer(const request& submitted,
                                   const job_answer& answer) {
  if (answer.outcome == job_outcome::kPending)
    AddViolation("final answer has the outcome pending");
  if (answer.outcome == job_outcome::kAnswered &&
      answer.tasks.size() != submitted.tasks) {
    AddViolation("answer does not cover every task");
  }
  for (task_index i = 0; i < answer.tasks.size(); ++i) {
    const task_answer& task = answer.tasks[i];
    const bool finished = task.outcome == task_outcome::kFinished;
    if (finished && task.result != ResultOf({submitted.id, i}))
      AddViolation("result of another task");
    if (!finished && answer.outcome == job_outcome::kAnswered)
      AddViolation("answered without every result");
    const bool not_run = answer.outcome == job_outcome::kRefused ||
                         task.outcome == task_outcome::kNotRun;
    if (not_run && StartCount(submitted.id, i) > 0)
      AddViolation("a task reported as not run was started");
  }
}

std::size_t entry_simulation::StartCount(const job_id& id,
                                         task_index task) const {
  const auto found = start_counts_.find({id, task});
  return found == start_counts_.end() ? 0 : found->second;
}

std::string entry_simulation::ResultOf(const task_key& key) {
  return key.first.ToString() + "/" + std::to_string(key.second);
}

std::size_t entry_simulation::answers(job_outcome outcome) const {
  std::size_t count = 0;
  for (const auto& [caller, submitted] : requests_) {
    for (const job_answer_ptr& answer : submitted.answers)
      count += answer->outcome == outcome ? 1 : 0;
  }
  return count;
}

}  // namespace egretrack::decision
