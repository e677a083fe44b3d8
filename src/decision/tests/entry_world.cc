#include "decision/tests/entry_world.h"

#include <algorithm>
#include <array>

#include "decision/tests/entry_fixture.h"

namespace egretrack::decision {
namespace {

constexpr std::size_t kAgents = 3;
constexpr std::uint64_t kSlots = 2;

}  // namespace

entry_world::entry_world(routing_policy routing) : options_(MakeOptions()) {
  options_.routing = routing;
  options_.admission = false;  // Refusals are made by deadlines and cancels.
  StartEntry();
  for (std::size_t i = 0; i < kAgents; ++i) {
    agent& made = agents_.emplace_back();
    made.name = "a" + std::to_string(i);
    made.agent_incarnation = incarnation{100 * (i + 1)};
    Connect(made);
  }
}

void entry_world::Take(const world_step& step) {
  // Actions that appear more than once are more likely.
  static constexpr std::array<action, 24> kActions = {
      &entry_world::Submit,         &entry_world::Submit,
      &entry_world::Resubmit,       &entry_world::Cancel,
      &entry_world::LoseCaller,     &entry_world::DeliverToEntry,
      &entry_world::DeliverToEntry, &entry_world::DeliverToEntry,
      &entry_world::DeliverToEntry, &entry_world::DeliverToAgent,
      &entry_world::DeliverToAgent, &entry_world::DeliverToAgent,
      &entry_world::DeliverToAgent, &entry_world::EndTask,
      &entry_world::EndTask,        &entry_world::EndTask,
      &entry_world::Heartbeat,      &entry_world::Heartbeat,
      &entry_world::Disturb,        &entry_world::Reconnect,
      &entry_world::RestartAgent,   &entry_world::PassTime,
      &entry_world::PassTime,       &entry_world::Configure};
  // Rare, because it ends every open request.
  if (step.action % 100 == 99) {
    RestartEntry(step);
    return;
  }
  (this->*kActions[step.action % kActions.size()])(step);
}

void entry_world::StartEntry() {
  core_ = entry_core::Create(options_).value();
  Handle(configuration_received{std::make_shared<const objects::configuration>(
      MakeConfiguration(config_version_))});
}

void entry_world::Handle(entry_event event) {
  core_->Handle(std::move(event), now_, wall_time(), commands_);
  Drain();
}

void entry_world::Drain() {
  for (entry_command& command : commands_) {
    if (auto* sent = std::get_if<send_to_agent>(&command))
      Note(*sent);
    else if (auto* answer = std::get_if<answer_caller>(&command))
      Note(*answer);
    else if (auto* accepted = std::get_if<job_id_assigned>(&command))
      requests_[static_cast<std::uint64_t>(accepted->caller)].id = accepted->id;
  }
  commands_.clear();
}

void entry_world::Note(send_to_agent& sent) {
  if (const auto* reply = std::get_if<wire::heartbeat_reply>(&sent.message)) {
    if (reply->config_version < seen_version_)
      Breach("configuration version fell");
    seen_version_ = reply->config_version;
  }
  if (const auto* task = std::get_if<wire::dispatch>(&sent.message)) {
    if (task->job.home != options_.entry_incarnation)
      Breach("dispatch of a job of another home");
  }
  outbox_.push_back(
      {static_cast<std::uint64_t>(sent.link), std::move(sent.message)});
}

void entry_world::Note(answer_caller& answer) {
  const auto found = requests_.find(static_cast<std::uint64_t>(answer.caller));
  if (found != requests_.end())
    found->second.answers.push_back(std::move(answer.answer));
}

// ---- Requests ---------------------------------------------------------------

void entry_world::Submit(const world_step& step) {
  const std::uint64_t caller = requests_.size() + 1;
  request& made = requests_[caller];
  made.kind = step.which % 3 == 0 ? "read" : "find";
  made.tasks = step.detail % 4 + 1;
  made.deadline = milliseconds(500 + 100 * (step.which % 20));
  submit_request event;
  event.caller = caller_token{caller};
  event.job = {made.kind, "", made.deadline,
               std::vector<std::string>(made.tasks, "p")};
  Handle(std::move(event));
}

void entry_world::Resubmit(const world_step& step) {
  if (requests_.empty())
    return;
  const request former = requests_[step.which % requests_.size() + 1];
  const std::uint64_t caller = requests_.size() + 1;
  requests_[caller] = {former.id,       former.tasks, former.kind,
                       former.deadline, false,        {}};
  submit_request event;
  event.caller = caller_token{caller};
  event.id = former.id;
  event.forwarded = true;
  event.job = {former.kind, "", former.deadline,
               std::vector<std::string>(former.tasks, "p")};
  Handle(std::move(event));
}

void entry_world::Cancel(const world_step& step) {
  if (requests_.empty())
    return;
  const job_id id = requests_[step.which % requests_.size() + 1].id;
  Handle(cancel_request{caller_token{~0ULL}, id, true});
}

void entry_world::LoseCaller(const world_step& step) {
  if (requests_.empty())
    return;
  const std::uint64_t caller = step.which % requests_.size() + 1;
  requests_[caller].gone = true;
  Handle(caller_gone{caller_token{caller}});
}

// ---- Network ----------------------------------------------------------------

void entry_world::DeliverToEntry(const world_step& step) {
  if (inbox_.empty())
    return;
  // Mostly in order.
  const std::size_t at = step.detail % 4 == 0 ? step.which % inbox_.size() : 0;
  to_entry taken = std::move(inbox_[at]);
  inbox_.erase(inbox_.begin() + static_cast<std::ptrdiff_t>(at));
  wire::agent_frame frame{connection_number{taken.connection}, {}};
  frame.messages.push_back(std::move(taken.message));
  Handle(agent_frame_received{link_id{taken.link}, std::move(frame)});
}

void entry_world::DeliverToAgent(const world_step& step) {
  if (outbox_.empty())
    return;
  const std::size_t at = step.detail % 4 == 0 ? step.which % outbox_.size() : 0;
  const to_agent taken = std::move(outbox_[at]);
  outbox_.erase(outbox_.begin() + static_cast<std::ptrdiff_t>(at));
  for (agent& receiver : agents_) {
    if (receiver.link != taken.link)
      continue;
    std::visit([&](const auto& message) { Receive(receiver, message); },
               taken.message);
  }
}

void entry_world::Disturb(const world_step& step) {
  const bool drop = step.detail % 2 == 0;
  if (step.detail % 4 < 2 && !inbox_.empty()) {
    const auto at = inbox_.begin() +
                    static_cast<std::ptrdiff_t>(step.which % inbox_.size());
    if (drop)
      inbox_.erase(at);
    else
      inbox_.push_back(to_entry(*at));
  } else if (!outbox_.empty()) {
    const auto at = outbox_.begin() +
                    static_cast<std::ptrdiff_t>(step.which % outbox_.size());
    // A repeated dispatch would count twice against the credits here.
    if (drop)
      outbox_.erase(at);
    else if (!std::holds_alternative<wire::dispatch>(at->message))
      outbox_.push_back(to_agent(*at));
  }
}

void entry_world::PassTime(const world_step& step) {
  now_ += milliseconds(10 * (step.detail % 60));
  core_->Advance(now_, wall_time(), commands_);
  Drain();
}

void entry_world::Configure(const world_step& step) {
  config_version_ += step.detail % 2;
  const std::uint64_t version = config_version_ - step.detail % 3 % 2;
  Handle(configuration_received{std::make_shared<const objects::configuration>(
      MakeConfiguration(std::max<std::uint64_t>(version, 1)))});
}

void entry_world::RestartEntry(const world_step& /*step*/) {
  options_.entry_incarnation =
      incarnation{static_cast<std::uint64_t>(options_.entry_incarnation) + 1};
  seen_version_ = 0;
  for (auto& [caller, asked] : requests_)
    asked.gone = true;
  StartEntry();
  for (agent& each : agents_)
    Connect(each);
}

// ---- Agents -----------------------------------------------------------------

void entry_world::Connect(agent& from) {
  ++from.connection;
  from.link = ++last_link_;
  from.granted = 0;
  from.received = 0;
  from.released = 0;
  SendToEntry(from, wire::hello{from.name, from.agent_incarnation, "turni",
                                "rack", kSlots, 0, false});
  Grant(from);
}

void entry_world::Reconnect(const world_step& step) {
  Connect(agents_[step.which % kAgents]);
}

void entry_world::RestartAgent(const world_step& step) {
  agent& restarted = agents_[step.which % kAgents];
  restarted.agent_incarnation =
      incarnation{static_cast<std::uint64_t>(restarted.agent_incarnation) + 1};
  restarted.connection = 0;
  restarted.records.clear();
  restarted.running.clear();
  Connect(restarted);
}

void entry_world::SendToEntry(const agent& from, wire::agent_message message) {
  inbox_.push_back({from.link, from.connection, std::move(message)});
}

// Keeps tasks held and credits outstanding within the slots.
void entry_world::Grant(agent& from) {
  const std::uint64_t idle = from.granted - from.received - from.released;
  const std::uint64_t held = from.running.size() + idle;
  if (held < kSlots)
    from.granted += kSlots - held;
  SendToEntry(from, wire::grant{from.granted});
}

void entry_world::Heartbeat(const world_step& step) {
  agent& from = agents_[step.which % kAgents];
  SendToEntry(from,
              wire::heartbeat{1, "turni", kSlots, 0, 0, from.granted, false});
}

void entry_world::EndTask(const world_step& step) {
  agent& from = agents_[step.which % kAgents];
  if (from.running.empty())
    return;
  const task_key key = from.running.front();
  from.running.erase(from.running.begin());
  record& ended = from.records[key];
  ended.state = step.detail % 8 == 0   ? wire::task_state::kFailed
                : step.detail % 8 == 1 ? wire::task_state::kCut
                                       : wire::task_state::kFinished;
  if (ended.state == wire::task_state::kFinished)
    ended.result = ResultOf(key);
  Report(from, key, ended.dispatch);
  Grant(from);
}

void entry_world::Report(agent& from,
                         const task_key& key,
                         dispatch_number number) {
  const record& known = from.records[key];
  wire::task_report report;
  report.job = key.first;
  report.task = key.second;
  report.dispatch = number;
  report.state = known.state;
  report.granted_total = from.granted;
  report.result = known.result;
  SendToEntry(from, std::move(report));
}

void entry_world::Receive(agent& at, const wire::dispatch& message) {
  if (options_.routing == routing_policy::kCredits &&
      ++at.received + at.released > at.granted) {
    Breach("more dispatches than credits");
  }
  const task_key key{message.job, message.task};
  if (!at.records.contains(key)) {
    record& made = at.records[key];
    made.task_count = message.task_count;
    made.dispatch = message.number;
    if (now_ < message.start_by && at.running.size() < kSlots) {
      made.state = wire::task_state::kStarted;
      at.running.push_back(key);
      ++starts_[key];
      return;
    }
  }
  Report(at, key, message.number);
  Grant(at);
}

void entry_world::Receive(agent& at, const wire::task_query& message) {
  const task_key key{message.job, message.task};
  at.records.try_emplace(key, record{wire::task_state::kRefused,
                                     message.task_count,
                                     message.dispatch,
                                     {}});
  Report(at, key, message.dispatch);
}

void entry_world::Receive(agent& at, const wire::job_lookup& message) {
  wire::job_records answer{message.lookup, message.job, {}};
  for (const auto& [key, known] : at.records) {
    if (key.first == message.job) {
      answer.records.push_back(
          {key.second, known.task_count, known.state, {}, known.result});
    }
  }
  SendToEntry(at, std::move(answer));
}

void entry_world::Receive(agent& at, const wire::release& message) {
  at.released = std::max(at.released, message.released_total);
}

// ---- Checks -----------------------------------------------------------------

void entry_world::Settle() {
  for (int round = 0; round < 80; ++round) {
    for (unsigned i = 0; i < kAgents; ++i) {
      Heartbeat({0, i, 0});
      EndTask({0, i, 7});
    }
    while (!inbox_.empty() || !outbox_.empty()) {
      DeliverToEntry({0, 0, 1});
      DeliverToAgent({0, 0, 1});
    }
    PassTime({0, 0, 5});
  }
  for (const auto& [caller, asked] : requests_) {
    if (asked.answers.size() > 1 || (asked.answers.empty() && !asked.gone))
      Breach("a caller got " + std::to_string(asked.answers.size()) +
             " answers");
    for (const job_answer_ptr& answer : asked.answers)
      CheckAnswer(asked, *answer);
  }
  for (const auto& [caller, asked] : requests_) {
    const bool may_repeat = asked.kind == "read" && asked.tasks == 1;
    for (task_index i = 0; i < asked.tasks && !may_repeat; ++i) {
      if (StartsOf(asked.id, i) > 1)
        Breach("task started twice");
    }
  }
}

void entry_world::CheckAnswer(const request& asked, const job_answer& answer) {
  if (answer.outcome == job_outcome::kPending)
    Breach("pending as the final answer");
  if (answer.outcome == job_outcome::kAnswered &&
      answer.tasks.size() != asked.tasks) {
    Breach("answer is not whole");
  }
  for (task_index i = 0; i < answer.tasks.size(); ++i) {
    const task_answer& task = answer.tasks[i];
    const bool finished = task.outcome == task_outcome::kFinished;
    if (finished && task.result != ResultOf({asked.id, i}))
      Breach("result of another task");
    if (!finished && answer.outcome == job_outcome::kAnswered)
      Breach("answered without every result");
    const bool not_run = answer.outcome == job_outcome::kRefused ||
                         task.outcome == task_outcome::kNotRun;
    if (not_run && StartsOf(asked.id, i) > 0)
      Breach("a task that is said not to have run was started");
  }
}

std::size_t entry_world::StartsOf(const job_id& id, task_index task) const {
  const auto found = starts_.find({id, task});
  return found == starts_.end() ? 0 : found->second;
}

std::string entry_world::ResultOf(const task_key& key) {
  return key.first.ToString() + "/" + std::to_string(key.second);
}

std::size_t entry_world::answers(job_outcome outcome) const {
  std::size_t count = 0;
  for (const auto& [caller, asked] : requests_) {
    for (const job_answer_ptr& answer : asked.answers)
      count += answer->outcome == outcome ? 1 : 0;
  }
  return count;
}

}  // namespace egretrack::decision
