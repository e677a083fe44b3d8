#include "scheduler/tests/system_model.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "egretrack/scheduler/deployment_limits.h"
#include "scheduler/tests/scheduler_driver.h"

namespace egretrack::scheduler {
namespace {

constexpr std::size_t kEntries = 2;
constexpr std::size_t kAgents = 3;
constexpr std::size_t kJobs = 14;
constexpr std::uint32_t kTasksPerJob = 3;
constexpr milliseconds kSlowestAnswer{90};
constexpr milliseconds kResendDelay{1300};
constexpr milliseconds kLongestLease{1000};
constexpr milliseconds kStopTime{50};
constexpr milliseconds kReportInterval{1500};
// From the end of a job's work to its deadline, at the least.
constexpr milliseconds kShortestSlack{150};
constexpr milliseconds kLongestDeadline{2500};
constexpr milliseconds kTick{2};
// Until the end of a connection, or an answer to a look at it, has passed from
// a traffic thread to the control thread.
constexpr milliseconds kSlowestNews{40};
constexpr milliseconds kShortestCut{1500};
constexpr milliseconds kLongestRoundTrip{200};  // To a caller.
constexpr seconds kLongestIdleTime{5};          // Of a caller's connection.
// TCP doubles the time between transmissions, from this on.
constexpr milliseconds kFirstRetransmission{200};
constexpr std::uint32_t kMaxAttempts = 3;
constexpr double kSlowestWorkerClock = 0.98;
constexpr std::int64_t kFirstBirth = 1'000'000;

deployment_limits Limits() {
  return deployment_limits::Create(static_cast<double>(kLongestLease.count()),
                                   static_cast<double>(kResendDelay.count()),
                                   6);
}

// Every other job requires it. A worker keeps its label under its id.
constexpr const char* kRequiredLabel = "a";
constexpr const char* kOtherLabel = "b";

bool RequiresLabel(std::size_t job) {
  return job % 2 == 0;
}

std::string TaskName(const run_id& id) {
  return id.job_key + "." + std::to_string(id.step) + "." +
         std::to_string(id.index);
}

std::string WorkerAddress(std::size_t index) {
  return "10.0.0." + std::to_string(index + 1) + ":8";
}

std::string EntryAddress(std::size_t index) {
  return "10.0.1." + std::to_string(index + 1) + ":7";
}

}  // namespace

struct system_model::entry {
  std::unique_ptr<job_scheduler> core;  // Null while down.
  std::uint64_t process = 0;
  bool front_open = false;  // Once it could serve callers.
  microseconds clock_offset{0};
  monotonic_time wakeup{};
  monotonic_time paused_until{};
  monotonic_time cut_until{};
  // When the last event of each source is read.
  std::map<std::string, monotonic_time> unread;
  std::set<std::uint64_t> callers;  // That are waiting for an answer.
};

struct system_model::agent {
  struct link {
    std::uint64_t transport = 0;
    bool open = false;
    monotonic_time cut_until{};
    std::uint64_t silent_transport = 0;
    monotonic_time last_to_entry{};
    monotonic_time last_to_agent{};
    std::optional<send_to_entry> last_frame;
  };
  std::unique_ptr<run_supervisor> core;  // Null while down.
  std::uint64_t process = 0;
  microseconds clock_offset{0};
  monotonic_time wakeup{};
  monotonic_time paused_until{};
  std::map<std::string, monotonic_time> unread;  // As of an entry.
  std::vector<link> links{kEntries};
  std::optional<worker_report> stored;
};

struct system_model::worker_process {
  struct run {
    std::uint32_t number = 0;
    run_id id;
    monotonic_time started;
    monotonic_time ends;
    std::optional<monotonic_time> stops;
  };
  std::uint64_t process = 0;
  std::size_t worker = 0;
  std::string id;
  std::string label;
  std::int64_t born = 0;
  monotonic_time clock_start;
  double clock_rate = 1;
  std::uint64_t fence = 0;
  milliseconds lease_end{0};
  std::map<std::string, run> running;
  std::map<std::string, std::uint32_t> highest;
  std::vector<ended_row> ended;
  std::uint64_t last_end = 0;
  std::uint64_t sequence = 0;
  std::vector<std::shared_ptr<worker_call>> polls;
};

struct system_model::worker {
  std::unique_ptr<worker_process> process;  // Null while down.
  std::uint64_t ids = 0;
  std::string label{kRequiredLabel};
  monotonic_time cut_until{};
  monotonic_time slow_until{};
  double late_share = 0;  // Of calls while slow.
  monotonic_time slow_answers_until{};
  // Until it is back, if the next task ends the worker as it begins.
  std::optional<milliseconds> crash_at_start;
};

struct system_model::worker_call {
  enum class kind : std::uint8_t { kStart, kStop, kPoll };
  kind type = kind::kPoll;
  std::size_t agent = 0;
  std::uint64_t agent_process = 0;
  worker_call_target target;
  run_id id;
  std::string spec;
  milliseconds lease_until{0};
  milliseconds wait{0};
  std::uint64_t last_end_seen = 0;
  std::size_t worker = kAgents;      // Index; kAgents if nobody listens.
  std::uint64_t worker_process = 0;  // That the call was sent to.
  bool resolved = false;             // The agent has its outcome.
  bool answer_lost = false;
  monotonic_time poll_deadline{};
  milliseconds time_limit{0};  // In addition to `wait`.
  monotonic_time sent{};
  milliseconds slowest_answer{1};
};

struct system_model::job {
  std::string key;
  milliseconds run_time{0};
  milliseconds deadline{0};
  std::uint32_t attempts = 0;
  bool first_attempt_sent = false;
  bool answered = false;
};

system_model::system_model(std::uint64_t seed) : random_(seed) {
  for (std::size_t index = 0; index < kEntries; ++index) {
    entries_.push_back(std::make_unique<entry>());
    StartEntry(index);
  }
  for (std::size_t index = 0; index < kAgents; ++index) {
    workers_.push_back(std::make_unique<worker>());
    agents_.push_back(std::make_unique<agent>());
  }
  for (std::size_t index = 0; index < kAgents; ++index) {
    StartWorker(index, true, milliseconds(0));
    StartAgent(index);
    At(milliseconds(5), [this, index] { ReportWorker(index); });
  }
  for (std::size_t number = 0; number < kJobs; ++number) {
    auto added = std::make_unique<job>();
    added->key = "j" + std::to_string(number);
    added->run_time = std::chrono::duration_cast<milliseconds>(
        RandomTime(milliseconds(50), milliseconds(900)));
    added->deadline = std::chrono::duration_cast<milliseconds>(
        RandomTime(added->run_time + kShortestSlack, kLongestDeadline));
    jobs_.push_back(std::move(added));
    At(RandomTime(milliseconds(100), milliseconds(3500)),
       [this, number] { Submit(number); });
  }
}

system_model::~system_model() = default;

void system_model::At(microseconds delay, std::function<void()> action) {
  events_.emplace(now_ + delay, std::move(action));
}

microseconds system_model::RandomTime(milliseconds low, milliseconds high) {
  return microseconds(std::uniform_int_distribution<std::int64_t>(
      microseconds(low).count(), microseconds(high).count())(random_));
}

bool system_model::Draw(double probability) {
  return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

void system_model::Run(microseconds duration) {
  const monotonic_time end = now_ + duration;
  while (now_ < end) {
    const monotonic_time tick = now_ + kTick;
    while (!events_.empty() && events_.begin()->first <= tick) {
      const auto next = events_.begin();
      now_ = std::max(now_, next->first);
      const auto action = std::move(next->second);
      events_.erase(next);
      action();
    }
    now_ = tick;
    AdvanceWorkers();
    for (std::size_t index = 0; index < kEntries; ++index) {
      if (entries_[index]->core && now_ >= entries_[index]->wakeup &&
          now_ >= entries_[index]->paused_until)
        HandleEntry(index, std::nullopt);
    }
    for (std::size_t index = 0; index < kAgents; ++index) {
      if (agents_[index]->core && now_ >= agents_[index]->wakeup &&
          now_ >= agents_[index]->paused_until)
        HandleAgent(index, std::nullopt);
    }
  }
}

// ---- Processes ------------------------------------------------------------

void system_model::StartEntry(std::size_t index) {
  entry& target = *entries_[index];
  scheduler_options options;
  options.entry = "e" + std::to_string(index);
  options.entry_incarnation = incarnation{++last_process_};
  options.failure_domain = "palermo";
  ApplyLimits(Limits(), options);
  target.core = job_scheduler::Create(options).value();
  target.front_open = false;
  target.process = last_process_;
  target.clock_offset = RandomTime(milliseconds(0), seconds(100));
  HandleEntry(index,
              configuration_received{scheduler_driver::MakeConfiguration(1)});
}

void system_model::StartAgent(std::size_t index) {
  agent& target = *agents_[index];
  supervisor_options options;
  options.agent = "a" + std::to_string(index);
  options.agent_incarnation = incarnation{++last_process_};
  options.failure_domain = "palermo";
  options.first_fence =
      static_cast<std::uint64_t>(now_.time_since_epoch().count() / 1000);
  ApplyLimits(Limits(), options);
  target.core = run_supervisor::Create(options).value();
  target.process = last_process_;
  target.clock_offset = RandomTime(milliseconds(0), seconds(100));
  entries_discovered discovered;
  for (std::size_t entry = 0; entry < kEntries; ++entry) {
    ++target.links[entry].transport;
    discovered.members.push_back(
        {"e" + std::to_string(entry), EntryAddress(entry)});
  }
  HandleAgent(index, std::move(discovered));
  if (target.stored)
    HandleAgent(index, worker_restored{*target.stored});
}

void system_model::StartWorker(std::size_t index,
                               bool new_id,
                               milliseconds birth_offset) {
  worker& target = *workers_[index];
  if (new_id)
    ++target.ids;
  auto process = std::make_unique<worker_process>();
  process->process = ++last_process_;
  process->worker = index;
  process->label = target.label;
  process->id = "w" + std::to_string(index) + "-" + std::to_string(target.ids);
  process->born = kFirstBirth + std::chrono::duration_cast<milliseconds>(
                                    now_.time_since_epoch() + birth_offset)
                                    .count();
  process->clock_start = now_ - RandomTime(milliseconds(0), seconds(5));
  process->clock_rate =
      std::uniform_real_distribution<double>(kSlowestWorkerClock, 1)(random_);
  target.process = std::move(process);
}

// What arrives in a pause is read in the order of its source, and the timers of
// the process may be first.
template <typename Process>
void system_model::ReadInOrder(const Process& reader,
                               monotonic_time& last_of_source,
                               std::function<void()> read) {
  if (now_ < reader.paused_until) {
    last_of_source =
        std::max(last_of_source, reader.paused_until +
                                     RandomTime(milliseconds(0), kSlowestNews));
  }
  last_of_source = std::max(last_of_source, now_);
  if (last_of_source == now_)
    return read();
  events_.emplace(last_of_source,
                  [&reader, process = reader.process, read = std::move(read)] {
                    if (reader.process == process)
                      read();
                  });
}

void system_model::ReceiveAtEntry(std::size_t index, scheduler_event event) {
  entry& target = *entries_[index];
  const auto* frame = std::get_if<agent_frame>(&event);
  const std::string source = frame != nullptr ? frame->frame.agent : "";
  ReadInOrder(
      target, target.unread[source],
      [this, index, event = std::move(event)] { HandleEntry(index, event); });
}

void system_model::ReceiveAtAgent(std::size_t index, supervisor_event event) {
  agent& target = *agents_[index];
  const auto* frame = std::get_if<entry_frame>(&event);
  const std::string source = frame != nullptr ? frame->frame.entry : "";
  ReadInOrder(
      target, target.unread[source],
      [this, index, event = std::move(event)] { HandleAgent(index, event); });
}

void system_model::HandleEntry(std::size_t index,
                               std::optional<scheduler_event> event) {
  entry& target = *entries_[index];
  if (!target.core)
    return;
  const monotonic_time local = now_ + target.clock_offset;
  std::vector<scheduler_command> commands;
  if (event)
    target.core->Handle(std::move(*event), local, commands);
  target.wakeup = target.core->Advance(local, commands) - target.clock_offset;
  target.front_open = target.front_open || target.core->ready();
  for (scheduler_command& command : commands)
    PerformEntryCommand(index, command);
}

void system_model::HandleAgent(std::size_t index,
                               std::optional<supervisor_event> event) {
  agent& target = *agents_[index];
  if (!target.core)
    return;
  const monotonic_time local = now_ + target.clock_offset;
  std::vector<supervisor_command> commands;
  if (event)
    target.core->Handle(std::move(*event), local, commands);
  target.wakeup = target.core->Advance(local, commands) - target.clock_offset;
  for (supervisor_command& command : commands)
    PerformAgentCommand(index, command);
}

void system_model::PerformEntryCommand(std::size_t index,
                                       scheduler_command& command) {
  if (auto* send = std::get_if<send_to_agent>(&command))
    SendToAgent(index, std::move(*send));
  else if (const auto* answer = std::get_if<answer_job>(&command))
    At(milliseconds(1), [this, answer = *answer] { OnAnswer(answer); });
  else if (const auto* check = std::get_if<check_caller>(&command))
    LookAtCaller(index, check->caller);
}

void system_model::PerformAgentCommand(std::size_t index,
                                       supervisor_command& command) {
  agent& target = *agents_[index];
  worker_call call;
  if (auto* send = std::get_if<send_to_entry>(&command)) {
    SendToEntry(index, std::move(*send));
  } else if (const auto* opened = std::get_if<open_link>(&command)) {
    ++target.links[opened->entry].transport;
    target.links[opened->entry].open = true;
  } else if (const auto* closed = std::get_if<close_link>(&command)) {
    ++target.links[closed->entry].transport;
    target.links[closed->entry].open = false;
  } else if (const auto* stored = std::get_if<store_worker>(&command)) {
    target.stored = stored->report;
  } else if (auto* start = std::get_if<start_run>(&command)) {
    call.type = worker_call::kind::kStart;
    call.target = start->target;
    call.id = start->id;
    call.spec = start->spec;
    call.lease_until = start->lease_until;
    call.time_limit = start->time_limit;
    CallWorker(index, std::move(call));
  } else if (auto* stop = std::get_if<stop_run>(&command)) {
    call.type = worker_call::kind::kStop;
    call.target = stop->target;
    call.id = stop->id;
    call.time_limit = stop->time_limit;
    CallWorker(index, std::move(call));
  } else if (auto* poll = std::get_if<poll_worker>(&command)) {
    call.target = poll->target;
    call.lease_until = poll->lease_until;
    call.wait = poll->wait;
    call.last_end_seen = poll->last_end_seen;
    call.time_limit = poll->time_limit;
    CallWorker(index, std::move(call));
  }
}

void system_model::KillEntry(std::size_t index, milliseconds down_time) {
  entry& target = *entries_[index];
  if (!target.core)
    return;
  target.core.reset();
  const std::set<std::uint64_t> callers = target.callers;
  for (const std::uint64_t caller : callers)
    LeaveEntry(index, caller);
  At(down_time, [this, index] { StartEntry(index); });
}

void system_model::PauseEntry(std::size_t index,
                              milliseconds duration,
                              bool all_leave) {
  entry& target = *entries_[index];
  target.paused_until = std::max(target.paused_until, now_ + duration);
  std::vector<std::uint64_t> leaving;
  for (const std::uint64_t caller : target.callers) {
    if (all_leave || Draw(0.5))
      leaving.push_back(caller);
  }
  for (const std::uint64_t caller : leaving)
    LeaveEntry(index, caller);
}

void system_model::PauseAgent(std::size_t index, milliseconds duration) {
  agent& target = *agents_[index];
  target.paused_until = std::max(target.paused_until, now_ + duration);
}

void system_model::SilenceLinks(std::size_t index) {
  for (agent::link& each : agents_[index]->links)
    each.silent_transport = each.transport;
}

void system_model::CutEntry(std::size_t index, milliseconds duration) {
  entry& target = *entries_[index];
  target.cut_until = std::max(target.cut_until, now_ + duration);
  for (const auto& each : agents_) {
    agent::link& link = each->links[index];
    link.cut_until = std::max(link.cut_until, target.cut_until);
  }
}

// ---- Network --------------------------------------------------------------

void system_model::SendToEntry(std::size_t from, send_to_entry command) {
  agent& sender = *agents_[from];
  agent::link& link = sender.links[command.entry];
  if (!link.open || now_ < link.cut_until ||
      link.silent_transport == link.transport)
    return;
  link.last_to_entry = std::max(
      link.last_to_entry, now_ + RandomTime(milliseconds(0), milliseconds(2)));
  link.last_frame = command;
  events_.emplace(link.last_to_entry, [this, from, process = sender.process,
                                       transport = link.transport,
                                       command = std::move(command)]() mutable {
    DeliverToEntry(from, process, transport, std::move(command));
  });
}

// The transport keeps frames for an entry that is down, and reconnects.
void system_model::DeliverToEntry(std::size_t from,
                                  std::uint64_t agent_process,
                                  std::uint64_t transport,
                                  send_to_entry command) {
  const std::size_t to = command.entry;
  entry& receiver = *entries_[to];
  if (!receiver.core) {
    if (agents_[from]->process == agent_process &&
        agents_[from]->links[to].transport == transport) {
      At(milliseconds(5), [this, from, agent_process, transport,
                           command = std::move(command)]() mutable {
        DeliverToEntry(from, agent_process, transport, std::move(command));
      });
    }
    return;
  }
  const std::string name = std::to_string(agent_process) + "/" +
                           std::to_string(transport) + "/" +
                           std::to_string(receiver.process);
  const auto [found, added] = link_ids_.emplace(name, link_ids_.size() + 1);
  if (added) {
    links_[found->second] = [this, from, to, agent_process,
                             transport](wire::entry_run_frame frame) {
      agent& target = *agents_[from];
      if (target.process != agent_process || !target.core ||
          target.links[to].transport != transport) {
        return;
      }
      ReceiveAtAgent(
          from, entry_frame{static_cast<entry_index>(to), std::move(frame)});
    };
  }
  ReceiveAtEntry(to,
                 agent_frame{link_id{found->second}, std::move(command.frame)});
}

void system_model::SendToAgent(std::size_t from, send_to_agent command) {
  const auto link = static_cast<std::uint64_t>(command.link);
  const auto to = static_cast<std::size_t>(
      std::find_if(agents_.begin(), agents_.end(),
                   [&](const auto& candidate) {
                     const std::string prefix =
                         std::to_string(candidate->process) + "/";
                     return std::ranges::any_of(link_ids_, [&](const auto& id) {
                       return id.second == link && id.first.starts_with(prefix);
                     });
                   }) -
      agents_.begin());
  if (to == kAgents || now_ < agents_[to]->links[from].cut_until)
    return;
  agent::link& path = agents_[to]->links[from];
  if (path.silent_transport == path.transport)
    return;
  path.last_to_agent = std::max(
      path.last_to_agent, now_ + RandomTime(milliseconds(0), milliseconds(2)));
  events_.emplace(path.last_to_agent,
                  [this, link, frame = std::move(command.frame)] {
                    links_.at(link)(frame);
                  });
}

// ---- Workers --------------------------------------------------------------

void system_model::CallWorker(std::size_t from, worker_call values) {
  auto call = std::make_shared<worker_call>(std::move(values));
  call->agent = from;
  call->agent_process = agents_[from]->process;
  call->sent = now_;
  for (std::size_t index = 0; index < kAgents; ++index) {
    if (WorkerAddress(index) == call->target.address)
      call->worker = index;
  }
  const bool reachable = call->worker < kAgents &&
                         workers_[call->worker]->process &&
                         now_ >= workers_[call->worker]->cut_until;
  if (!reachable) {
    At(microseconds(300),
       [this, call] { FailCall(call, worker_call_result::kUnreachable); });
    return;
  }
  const worker& target = *workers_[call->worker];
  call->worker_process = target.process->process;
  if (now_ < target.slow_answers_until)
    call->slowest_answer = kSlowestAnswer;
  microseconds delay = RandomTime(milliseconds(0), milliseconds(1));
  if (now_ < target.slow_until) {
    if (Draw(target.late_share))
      delay = RandomTime(milliseconds(1), milliseconds(1500));
    call->answer_lost = Draw(target.late_share);
  }
  At(delay, [this, call] { ExecuteCall(call); });
  At(call->wait + call->time_limit,
     [this, call] { FailCall(call, worker_call_result::kUnanswered); });
}

void system_model::FailCall(const std::shared_ptr<worker_call>& call,
                            worker_call_result result) {
  poll_answered poll;
  poll.result = result;
  switch (call->type) {
    case worker_call::kind::kStart:
      return AnswerCall(call, start_answered{call->id, result, {}, {}});
    case worker_call::kind::kStop:
      return AnswerCall(call, stop_answered{call->id, result, {}});
    case worker_call::kind::kPoll:
      return AnswerCall(call, std::move(poll));
  }
}

void system_model::AnswerCall(const std::shared_ptr<worker_call>& call,
                              supervisor_event answer) {
  if (std::exchange(call->resolved, true) ||
      agents_[call->agent]->process != call->agent_process) {
    return;
  }
  std::visit(
      [&](auto& event) {
        if constexpr (requires { event.call_time; })
          event.call_time = now_ - call->sent;
      },
      answer);
  ReceiveAtAgent(call->agent, std::move(answer));
}

// A call ends with the process of the worker that it was sent to.
void system_model::ExecuteCall(const std::shared_ptr<worker_call>& call) {
  const auto& target = workers_[call->worker]->process;
  if (!target || target->process != call->worker_process)
    return;
  worker_process& process = *target;
  const auto answer = [&](worker_call_result result) {
    if (call->answer_lost)
      return;
    At(RandomTime(milliseconds(0), call->slowest_answer),
       [this, call, result] { FailCall(call, result); });
  };
  if (call->target.worker != process.id)
    return answer(worker_call_result::kOtherIncarnation);
  if (call->target.fence < process.fence)
    return answer(worker_call_result::kFenced);
  process.fence = call->target.fence;
  const auto clock = std::chrono::duration_cast<milliseconds>(
      Scale(now_ - process.clock_start, process.clock_rate));
  process.lease_end = std::max(
      process.lease_end, std::min(call->lease_until, clock + kLongestLease));
  if (call->type == worker_call::kind::kPoll) {
    std::erase_if(process.ended, [&](const ended_row& row) {
      return row.sequence <= call->last_end_seen;
    });
    call->poll_deadline = now_ + call->wait;
    process.polls.push_back(call);
    return;
  }
  if (call->type == worker_call::kind::kStop) {
    const std::string task = TaskName(call->id);
    auto& highest = process.highest[task];
    highest = std::max(highest, call->id.run_number);
    const auto running = process.running.find(task);
    if (running != process.running.end() &&
        running->second.number <= call->id.run_number &&
        !running->second.stops) {
      running->second.stops = now_ + RandomTime(milliseconds(1), kStopTime);
    }
    return answer(worker_call_result::kAccepted);
  }
  const worker_call_result result = StartRun(process, *call);
  if (result == worker_call_result::kAccepted && CrashAtStart(call->worker))
    return FailCall(call, worker_call_result::kUnanswered);
  if (result != worker_call_result::kAccepted || call->answer_lost)
    return answer(result);
  At(RandomTime(milliseconds(0), call->slowest_answer), [this, call, clock] {
    AnswerCall(call, start_answered{
                         call->id, worker_call_result::kAccepted, clock, {}});
  });
}

worker_call_result system_model::StartRun(worker_process& process,
                                          const worker_call& call) {
  const auto clock = std::chrono::duration_cast<milliseconds>(
      Scale(now_ - process.clock_start, process.clock_rate));
  if (call.lease_until <= clock)
    return worker_call_result::kTooLate;
  const std::string task = TaskName(call.id);
  const auto running = process.running.find(task);
  if (running != process.running.end() &&
      running->second.number == call.id.run_number) {
    return worker_call_result::kAccepted;
  }
  const auto highest = process.highest.find(task);
  if (running != process.running.end() ||
      (highest != process.highest.end() &&
       call.id.run_number <= highest->second)) {
    return worker_call_result::kSuperseded;
  }
  if (RunsElsewhere(task, process)) {
    violations_.push_back(
        "two runs of " + task + ", the second on " + process.id + " at " +
        std::to_string((now_ - monotonic_time(seconds(1000))).count() / 1000) +
        " ms");
  }
  const std::size_t number =
      static_cast<std::size_t>(std::stoul(call.id.job_key.substr(1)));
  if (RequiresLabel(number) && process.label != kRequiredLabel)
    violations_.push_back(task + " began without its label on " + process.id);
  worker_process::run run;
  run.number = call.id.run_number;
  run.id = call.id;
  run.started = now_;
  run.ends = now_ + jobs_[number]->run_time;
  process.running.emplace(task, run);
  started_tasks_.insert(task);
  return worker_call_result::kAccepted;
}

bool system_model::CrashAtStart(std::size_t index) {
  worker& target = *workers_[index];
  const auto down_time = std::exchange(target.crash_at_start, std::nullopt);
  if (!down_time)
    return false;
  target.process.reset();
  At(*down_time, [this, index] {
    if (!workers_[index]->process)
      StartWorker(index, false, milliseconds(0));
  });
  return true;
}

bool system_model::RunsElsewhere(const std::string& task,
                                 const worker_process& process) const {
  return std::ranges::any_of(workers_, [&](const auto& other) {
    return other->process && other->process.get() != &process &&
           other->process->running.contains(task);
  });
}

void system_model::AnswerPoll(worker_process& process,
                              const std::shared_ptr<worker_call>& call) {
  if (call->answer_lost)
    return;
  poll_answered answer;
  answer.result = worker_call_result::kAccepted;
  answer.worker_incarnation = process.born;
  answer.worker_clock = std::chrono::duration_cast<milliseconds>(
      Scale(now_ - process.clock_start, process.clock_rate));
  for (const auto& [task, run] : process.running) {
    const auto share =
        100 * (now_ - run.started).count() /
        std::max<std::int64_t>((run.ends - run.started).count(), 1);
    answer.running.push_back({run.id, static_cast<std::uint32_t>(
                                          std::min<std::int64_t>(share, 99))});
  }
  answer.ended = process.ended;
  At(RandomTime(milliseconds(0), call->slowest_answer),
     [this, call, answer] { AnswerCall(call, answer); });
}

void system_model::AdvanceWorkers() {
  for (const auto& target : workers_) {
    if (!target->process)
      continue;
    worker_process& process = *target->process;
    const auto clock = std::chrono::duration_cast<milliseconds>(
        Scale(now_ - process.clock_start, process.clock_rate));
    for (auto it = process.running.begin(); it != process.running.end();) {
      const worker_process::run& run = it->second;
      const bool lapsed = clock >= process.lease_end;
      const bool stopped = run.stops && now_ >= *run.stops;
      const bool done = !lapsed && !stopped && now_ >= run.ends;
      if (!lapsed && !stopped && !done) {
        ++it;
        continue;
      }
      if (done)
        done_tasks_.insert(it->first);
      auto& highest = process.highest[it->first];
      highest = std::max(highest, run.number);
      process.ended.push_back(
          {++process.last_end, run.id,
           done ? wire::run_end::kDone : wire::run_end::kLost});
      it = process.running.erase(it);
    }
    for (const auto& call : std::exchange(process.polls, {})) {
      if (!process.ended.empty() || now_ >= call->poll_deadline)
        AnswerPoll(process, call);
      else
        process.polls.push_back(call);
    }
  }
}

void system_model::ReportWorker(std::size_t index) {
  At(kReportInterval, [this, index] { ReportWorker(index); });
  SendReport(index);
}

void system_model::SendReport(std::size_t index) {
  const auto& process = workers_[index]->process;
  if (!process)
    return;
  worker_report report;
  report.id = process->id;
  report.worker_incarnation = process->born;
  report.desk = "gas";
  report.address = WorkerAddress(index);
  report.labels = {process->label};
  report.capacity = {16000, 32768, 0};
  report.sequence = ++process->sequence;
  // Some reports are doubled or arrive after those of a later process.
  const int copies = Draw(0.1) ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    const microseconds delay =
        Draw(0.1) ? RandomTime(milliseconds(1), milliseconds(3000))
                  : RandomTime(milliseconds(0), milliseconds(2));
    At(delay, [this, index, report] { ReceiveAtAgent(index, report); });
  }
}

// ---- Callers --------------------------------------------------------------

void system_model::Submit(std::size_t number) {
  job& sent = *jobs_[number];
  if (sent.answered || sent.attempts == kMaxAttempts)
    return;
  const auto index = static_cast<std::size_t>(
      std::uniform_int_distribution<std::size_t>(0, kEntries - 1)(random_));
  entry& target = *entries_[index];
  // The connection is refused; another entry is tried.
  if (!target.core || !target.front_open) {
    At(milliseconds(20), [this, number] { Submit(number); });
    return;
  }
  ++sent.attempts;
  const std::uint64_t caller = ++last_caller_;
  jobs_by_caller_[caller] = number;
  target.callers.insert(caller);
  job_submission submission =
      scheduler_driver::MakeJob(caller, sent.key, kTasksPerJob);
  submission.deadline = sent.deadline;
  submission.caller_seen_at = now_ + target.clock_offset;
  submission.sent_after =
      submission.caller_seen_at - RandomTime(milliseconds(0), kLongestIdleTime);
  submission.steps[0].estimate = sent.run_time;
  if (RequiresLabel(number))
    submission.steps[0].required_label = kRequiredLabel;
  if (now_ < target.cut_until)
    return HoldUp(number, index, std::move(submission));
  ReceiveAtEntry(index, std::move(submission));
}

void system_model::HoldUp(std::size_t number,
                          std::size_t index,
                          job_submission submission) {
  entry& target = *entries_[index];
  const auto caller = static_cast<std::uint64_t>(submission.caller);
  milliseconds delay = kFirstRetransmission;
  for (milliseconds interval = kFirstRetransmission;
       now_ + delay < target.cut_until; delay += interval)
    interval *= 2;
  const microseconds end_delay = RandomTime(milliseconds(0), kLongestRoundTrip);
  const bool leaves = delay > jobs_[number]->deadline;
  target.callers.erase(caller);
  if (leaves) {
    At(jobs_[number]->deadline,
       [this, caller] { jobs_by_caller_.erase(caller); });
    At(jobs_[number]->deadline + kResendDelay,
       [this, number] { Submit(number); });
  }
  At(delay, [this, number, index, caller, leaves, end_delay,
             process = target.process, submission]() mutable {
    entry& receiver = *entries_[index];
    if (receiver.process != process || !receiver.core) {
      if (!leaves && jobs_by_caller_.erase(caller) > 0)
        At(kResendDelay, [this, number] { Submit(number); });
      return;
    }
    receiver.callers.insert(caller);
    submission.caller_seen_at = now_ + receiver.clock_offset;
    ReceiveAtEntry(index, submission);
    if (leaves)
      At(end_delay, [this, index, caller] { LeaveEntry(index, caller); });
  });
}

void system_model::LeaveEntry(std::size_t index, std::uint64_t caller) {
  entry& left = *entries_[index];
  if (left.callers.erase(caller) == 0)
    return;
  // A caller without an answer that has not sent its job again yet.
  const auto found = jobs_by_caller_.find(caller);
  if (found != jobs_by_caller_.end()) {
    const std::size_t number = found->second;
    jobs_by_caller_.erase(found);
    At(kResendDelay, [this, number] { Submit(number); });
  }
  At(RandomTime(milliseconds(0), kSlowestNews),
     [this, index, caller, process = left.process] {
       if (entries_[index]->process == process)
         ReceiveAtEntry(index, caller_disconnected{caller_token{caller}});
     });
}

// A traffic thread looks, and passes on what it has seen.
void system_model::LookAtCaller(std::size_t index, caller_token caller) {
  At(RandomTime(milliseconds(0), kSlowestNews),
     [this, index, caller, process = entries_[index]->process] {
       entry& target = *entries_[index];
       if (target.process != process)
         return;
       if (now_ < target.paused_until)
         return At(target.paused_until - now_,
                   [this, index, caller] { LookAtCaller(index, caller); });
       if (!target.callers.contains(static_cast<std::uint64_t>(caller)))
         return;
       const caller_seen seen{caller, now_ + target.clock_offset};
       At(RandomTime(milliseconds(0), kSlowestNews),
          [this, index, seen, process] {
            if (entries_[index]->process == process)
              ReceiveAtEntry(index, seen);
          });
     });
}

void system_model::OnAnswer(const answer_job& answer) {
  const auto caller = static_cast<std::uint64_t>(answer.caller);
  const auto found = jobs_by_caller_.find(caller);
  if (found == jobs_by_caller_.end())
    return;
  const std::size_t number = found->second;
  job& answered = *jobs_[number];
  jobs_by_caller_.erase(found);
  for (const auto& each : entries_)
    each->callers.erase(caller);
  const auto is_of_job = [&](const std::string& task) {
    return task.starts_with(answered.key + ".");
  };
  switch (answer.state) {
    case job_state::kCompleted:
      ++completed_jobs_;
      answered.answered = true;
      if (std::ranges::count_if(done_tasks_, is_of_job) <
          static_cast<std::ptrdiff_t>(kTasksPerJob)) {
        violations_.push_back(answered.key +
                              " is completed, but not all of its tasks are");
      }
      return;
    case job_state::kRefused:
      answered.answered = true;
      if (answered.attempts == 1 &&
          std::ranges::any_of(started_tasks_, is_of_job)) {
        violations_.push_back(answered.key + " is refused, but a task began");
      }
      return;
    case job_state::kOutcomeUnknown:
      At(kResendDelay, [this, number] { Submit(number); });
      return;
    default:
      return;
  }
}

// ---- Faults ---------------------------------------------------------------

void system_model::Inject(const model_fault& fault) {
  At(fault.at, [this, fault] {
    const std::size_t entry_index = fault.target % kEntries;
    const std::size_t index = fault.target % kAgents;
    worker& target = *workers_[index];
    agent& beside = *agents_[index];
    agent::link& link = beside.links[(fault.target / kAgents) % kEntries];
    worker_report odd;
    odd.id = fault.target % 2 == 0 ? "odd"
                                   : "w" + std::to_string(index) + "-" +
                                         std::to_string(target.ids);
    odd.worker_incarnation =
        kFirstBirth + std::int64_t{2'000'000} * (fault.target % 3);
    odd.desk = "unknown";
    odd.address = fault.target % 5 == 0 ? WorkerAddress(index) : "10.0.0.99:8";
    odd.capacity = {16000, 32768, 0};
    odd.sequence = 1;
    switch (fault.kind) {
      case model_fault_kind::kRestartEntry:
        return KillEntry(entry_index, fault.duration / 3);
      case model_fault_kind::kRestartAgent:
        if (!beside.core)
          return;
        beside.core.reset();
        // The last frame of the process also arrives late.
        for (agent::link& last : beside.links) {
          if (!last.last_frame)
            continue;
          At(RandomTime(milliseconds(0), milliseconds(800)),
             [this, index, process = beside.process, transport = last.transport,
              frame = *std::exchange(last.last_frame, std::nullopt)] {
               DeliverToEntry(index, process, transport, frame);
             });
        }
        beside.process = 0;
        return At(fault.duration / 3, [this, index] { StartAgent(index); });
      case model_fault_kind::kRestartWorker:
      case model_fault_kind::kReplaceWorker:
        if (!target.process)
          return;
        target.process.reset();
        return At(fault.duration / 2, [this, index, fault] {
          const bool replaced = fault.kind == model_fault_kind::kReplaceWorker;
          if (replaced) {
            workers_[index]->label =
                fault.target % 4 < 2 ? kOtherLabel : kRequiredLabel;
          }
          StartWorker(index, replaced, -milliseconds(fault.target % 4 * 1000));
          // A new worker reports at once.
          if (replaced)
            SendReport(index);
        });
      case model_fault_kind::kCutWorker:
        target.cut_until = now_ + fault.duration / 4;
        return;
      case model_fault_kind::kSlowWorker:
        target.slow_until = now_ + fault.duration;
        target.late_share = fault.target % 2 == 0 ? 0.3 : 0.8;
        return;
      case model_fault_kind::kOddReport:
        return ReceiveAtAgent(index, odd);
      case model_fault_kind::kDeregister:
        return ReceiveAtAgent(index, worker_deregistered{odd.id});
      case model_fault_kind::kCutLink:
        link.cut_until = now_ + fault.duration;
        return;
      case model_fault_kind::kReconnectLink:
        ++link.transport;
        link.last_to_entry = now_ + fault.duration / 4;
        return;
      case model_fault_kind::kSlowAnswers:
        target.slow_answers_until = now_ + fault.duration;
        return;
      case model_fault_kind::kPauseEntry:
        return PauseEntry(entry_index, fault.duration * 2,
                          fault.target % 2 == 0);
      case model_fault_kind::kPauseAgent:
        return PauseAgent(index, fault.duration * 2);
      case model_fault_kind::kSilenceLinks:
        return SilenceLinks(index);
      case model_fault_kind::kCrashAtStart:
        for (const auto& each : workers_) {
          if (each.get() == &target || fault.target % 2 == 0)
            each->crash_at_start = fault.duration;
        }
        return;
      case model_fault_kind::kCutEntry:
        return CutEntry(entry_index, kShortestCut + fault.duration * 2);
      case model_fault_kind::kCount:
        return;
    }
  });
}

}  // namespace egretrack::scheduler
