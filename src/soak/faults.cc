#include "soak/faults.h"

#include <algorithm>
#include <utility>

namespace egretrack::soak {
namespace {

// Jobs are in flight by the time of the first fault.
constexpr milliseconds kFirstFaultDelay{1500};
constexpr int kMinFaultIntervalMs = 50;
constexpr int kMaxFaultIntervalMs = 900;
constexpr milliseconds kMaxAnswerDelay{90};
constexpr milliseconds kPublicationDelay{200};
// From a silence of all connections until the last configuration is in force.
constexpr milliseconds kConfigurationBound{3000};

}  // namespace

const std::array<fault_injector::fault_kind, 32> fault_injector::kFaultKinds{{
    fault_kind{"kill_entry", &fault_injector::KillEntry},
    fault_kind{"kill_agent", &fault_injector::KillAgent},
    fault_kind{"restart_entry", &fault_injector::RestartEntry},
    fault_kind{"pause_entry", &fault_injector::PauseEntry},
    fault_kind{"pause_agent", &fault_injector::PauseAgent},
    fault_kind{"terminate_entry", &fault_injector::TerminateEntry},
    fault_kind{"terminate_agent", &fault_injector::TerminateAgent},
    fault_kind{"kill_all", &fault_injector::KillAll},
    fault_kind{"cut_entry", &fault_injector::CutEntry},
    fault_kind{"silence_entry", &fault_injector::SilenceEntry},
    fault_kind{"block_entry", &fault_injector::BlockEntry},
    fault_kind{"delay_entry", &fault_injector::DelayEntry},
    fault_kind{"delay_worker", &fault_injector::DelayWorker},
    fault_kind{"cut_worker", &fault_injector::CutWorker},
    fault_kind{"refuse_worker", &fault_injector::RefuseWorker},
    fault_kind{"disturb_store", &fault_injector::DisturbStore},
    fault_kind{"forget_history", &fault_injector::ForgetHistory},
    fault_kind{"publish", &fault_injector::PublishConfiguration},
    fault_kind{"crash_worker", &fault_injector::CrashWorker},
    fault_kind{"restart_worker", &fault_injector::RestartWorker},
    fault_kind{"odd_report", &fault_injector::OddReport},
    fault_kind{"late_orders", &fault_injector::LateWorkerCalls},
    fault_kind{"lose_answers", &fault_injector::LoseAnswers},
    fault_kind{"fail_runs", &fault_injector::FailRuns},
    fault_kind{"slow_worker", &fault_injector::SlowWorker},
    fault_kind{"stall_worker", &fault_injector::StallWorker},
    fault_kind{"slow_worker_calls", &fault_injector::SlowWorkerCalls},
    fault_kind{"evacuate", &fault_injector::EvacuateDomain},
    fault_kind{"silence_all", &fault_injector::SilenceAll},
    fault_kind{"crash_at_start", &fault_injector::CrashAtStart},
    fault_kind{"replace_worker", &fault_injector::ReplaceWorker},
    fault_kind{"hold_requests", &fault_injector::HoldRequests},
}};

fault_injector::fault_injector(deployment& system,
                               std::uint64_t seed,
                               std::span<const std::string> selected)
    : system_(system),
      random_(seed),
      next_fault_at_(monotonic_clock::now() + kFirstFaultDelay) {
  for (const fault_kind& kind : kFaultKinds) {
    if (selected.empty() ||
        std::ranges::find(selected, kind.name) != selected.end()) {
      selected_.push_back(&kind);
    }
  }
}

int fault_injector::RandomInt(int low, int high) {
  return std::uniform_int_distribution<int>(low, high)(random_);
}

milliseconds fault_injector::RandomDuration(int shortest_ms, int longest_ms) {
  return milliseconds(RandomInt(shortest_ms, longest_ms));
}

void fault_injector::ScheduleAt(monotonic_time at,
                                std::function<void()> action) {
  scheduled_.push({at, std::move(action)});
}

daemon* fault_injector::PickRunning(std::vector<daemon>& group) {
  daemon& picked = group[static_cast<std::size_t>(
      RandomInt(0, static_cast<int>(group.size()) - 1))];
  const bool up = !picked.restart_at && !picked.kill_at && !picked.paused;
  return up ? &picked : nullptr;
}

int fault_injector::PickWorker() {
  return RandomInt(0, static_cast<int>(system_.agents().size()) - 1);
}

void fault_injector::Advance(monotonic_time now) {
  while (!scheduled_.empty() && scheduled_.top().at <= now) {
    const auto action = scheduled_.top().action;
    scheduled_.pop();
    action();
  }
  ReplaceCrashedWorkers(now);
  if (now < next_fault_at_ || selected_.empty())
    return;
  next_fault_at_ =
      now + RandomDuration(kMinFaultIntervalMs, kMaxFaultIntervalMs);
  const fault_kind& chosen = *selected_[static_cast<std::size_t>(
      RandomInt(0, static_cast<int>(selected_.size()) - 1))];
  injected_.emplace_back(chosen.name);
  (this->*chosen.inject)(now);
}

// ---- Processes ------------------------------------------------------------

void fault_injector::KillEntry(monotonic_time now) {
  if (daemon* entry = PickRunning(system_.entries()))
    system_.Kill(*entry, now, RandomDuration(100, 1500));
}

// Within the time after which an agent takes the entry for silent, several
// times.
void fault_injector::RestartEntry(monotonic_time now) {
  daemon* entry = PickRunning(system_.entries());
  if (entry == nullptr)
    return;
  const int restarts = RandomInt(1, 3);
  for (int restart = 0; restart < restarts; ++restart) {
    ScheduleAt(now + restart * RandomDuration(100, 400), [this, entry] {
      if (!entry->restart_at && !entry->kill_at && !entry->paused)
        system_.Kill(*entry, monotonic_clock::now(), milliseconds(0));
    });
  }
}

void fault_injector::KillAgent(monotonic_time now) {
  if (daemon* agent = PickRunning(system_.agents()))
    system_.Kill(*agent, now, RandomDuration(100, 1500));
}

void fault_injector::PauseEntry(monotonic_time now) {
  if (daemon* entry = PickRunning(system_.entries()))
    system_.Pause(*entry, now, RandomDuration(100, 3000));
}

void fault_injector::PauseAgent(monotonic_time now) {
  if (daemon* agent = PickRunning(system_.agents()))
    system_.Pause(*agent, now, RandomDuration(100, 3000));
}

void fault_injector::TerminateEntry(monotonic_time now) {
  if (daemon* entry = PickRunning(system_.entries()))
    system_.Terminate(*entry, now, RandomDuration(100, 500));
}

void fault_injector::TerminateAgent(monotonic_time now) {
  if (daemon* agent = PickRunning(system_.agents()))
    system_.Terminate(*agent, now, RandomDuration(100, 500));
}

void fault_injector::KillAll(monotonic_time now) {
  // Injected in one of three cases only: a restart of all processes hides the
  // effect of other faults.
  if (RandomInt(0, 2) > 0)
    return;
  const milliseconds down_time = RandomDuration(100, 800);
  for (auto* group : {&system_.entries(), &system_.agents()}) {
    for (daemon& target : *group) {
      if (!target.restart_at && !target.kill_at && !target.paused)
        system_.Kill(target, now, down_time);
    }
  }
}

// ---- Connections ----------------------------------------------------------

void fault_injector::CutEntry(monotonic_time /*now*/) {
  if (daemon* entry = PickRunning(system_.entries()))
    entry->fault_relay->CloseConnections();
}

void fault_injector::SilenceEntry(monotonic_time /*now*/) {
  if (daemon* entry = PickRunning(system_.entries()))
    entry->fault_relay->BlackholeConnections();
}

// A configuration that is published right after the silence is in force when
// the connections count as calm again.
void fault_injector::SilenceAll(monotonic_time now) {
  system_.SilenceConnections();
  if (!system_.options().check_configurations)
    return;
  ScheduleAt(now + kPublicationDelay,
             [this] { system_.PublishConfiguration(); });
  ScheduleAt(now + kConfigurationBound,
             [this] { system_.CheckConfigurations(); });
  next_fault_at_ = now + kConfigurationBound + RandomDuration(100, 2000);
}

void fault_injector::BlockEntry(monotonic_time now) {
  daemon* entry = PickRunning(system_.entries());
  if (entry == nullptr)
    return;
  entry->fault_relay->BlackholeConnections();
  entry->fault_relay->BlackholeNewConnections(true);
  ScheduleAt(now + RandomDuration(300, 2500),
             [relay = entry->fault_relay.get()] {
               relay->BlackholeNewConnections(false);
             });
}

void fault_injector::DelayEntry(monotonic_time now) {
  daemon* entry = PickRunning(system_.entries());
  if (entry == nullptr)
    return;
  entry->fault_relay->SetDelay(RandomDuration(20, 400));
  ScheduleAt(
      now + RandomDuration(300, 2000),
      [relay = entry->fault_relay.get()] { relay->SetDelay(milliseconds(0)); });
}

void fault_injector::DelayWorker(monotonic_time now) {
  daemon& agent = system_.agents()[static_cast<std::size_t>(PickWorker())];
  agent.fault_relay->SetDelay(RandomDuration(5, 150));
  ScheduleAt(
      now + RandomDuration(300, 2000),
      [relay = agent.fault_relay.get()] { relay->SetDelay(milliseconds(0)); });
}

void fault_injector::CutWorker(monotonic_time /*now*/) {
  system_.agents()[static_cast<std::size_t>(PickWorker())]
      .fault_relay->CloseConnections();
}

// The worker goes on running its tasks while the agent cannot connect to it.
void fault_injector::RefuseWorker(monotonic_time now) {
  standins::relay* relay =
      system_.agents()[static_cast<std::size_t>(PickWorker())]
          .fault_relay.get();
  const int cuts = RandomInt(1, 12);
  const milliseconds interval = RandomDuration(100, 250);
  const milliseconds duration = RandomDuration(20, 80);
  for (int cut = 0; cut < cuts; ++cut) {
    ScheduleAt(now + cut * interval, [relay] {
      relay->RefuseConnections(true);
      relay->ResetConnections();
    });
    ScheduleAt(now + cut * interval + duration,
               [relay] { relay->RefuseConnections(false); });
  }
}

// The entry is cut off from callers and agents. Requests that were sent on open
// connections arrive up to as long after the cut as it took, and the ends of
// their connections a round trip later.
void fault_injector::HoldRequests(monotonic_time now) {
  const milliseconds cut = RandomDuration(1500, 4000);
  const milliseconds repeated_after =
      RandomDuration(0, static_cast<int>(cut.count()));
  const milliseconds round_trip = RandomDuration(5, 150);
  daemon* entry = PickRunning(system_.entries());
  if (entry == nullptr)
    return;
  standins::relay* callers = entry->caller_relay.get();
  standins::relay* agents = entry->fault_relay.get();
  callers->Hold(true, round_trip);
  callers->BlackholeNewConnections(true);
  agents->BlackholeConnections();
  agents->BlackholeNewConnections(true);
  ScheduleAt(now + cut, [callers, agents] {
    callers->BlackholeNewConnections(false);
    agents->BlackholeNewConnections(false);
  });
  ScheduleAt(now + cut + repeated_after,
             [callers, round_trip] { callers->Hold(false, round_trip); });
}

// ---- Store ----------------------------------------------------------------

void fault_injector::DisturbStore(monotonic_time now) {
  constexpr std::array kModes{standins::store_mode::kRefusing,
                              standins::store_mode::kSilent,
                              standins::store_mode::kLosingAnswers};
  system_.store().SetMode(kModes[static_cast<std::size_t>(RandomInt(0, 2))]);
  ScheduleAt(now + RandomDuration(300, 2500), [this] {
    system_.store().SetMode(standins::store_mode::kServing);
  });
}

void fault_injector::ForgetHistory(monotonic_time /*now*/) {
  system_.store().ForgetHistory();
  system_.store_relay().CloseConnections();
}

void fault_injector::PublishConfiguration(monotonic_time /*now*/) {
  system_.PublishConfiguration();
}

// ---- Workers --------------------------------------------------------------

void fault_injector::CrashWorker(monotonic_time now) {
  const int number = PickWorker();
  if (system_.worker(number) == nullptr)
    return;
  system_.CrashWorker(number);
  ScheduleAt(now + RandomDuration(100, 2000), [this, number] {
    if (system_.worker(number) == nullptr)
      system_.StartWorker(number);
  });
}

// The time of day of the worker's machine may have been set back meanwhile.
void fault_injector::RestartWorker(monotonic_time now) {
  const int number = PickWorker();
  if (system_.worker(number) == nullptr)
    return;
  system_.CrashWorker(number);
  const milliseconds birth_offset = RandomDuration(-3000, 0);
  ScheduleAt(now + RandomDuration(0, 100), [this, number, birth_offset] {
    if (system_.worker(number) == nullptr)
      system_.StartWorker(number, birth_offset);
  });
}

// Unless workers keep their ids, the next one has another. It may lack the
// label that tasks require. An entry often stands still meanwhile, with
// dispatches under way.
void fault_injector::ReplaceWorker(monotonic_time now) {
  const int number = PickWorker();
  const milliseconds down_time = RandomDuration(0, 300);
  const bool has_label = RandomInt(0, 1) == 1;
  const bool pauses = RandomInt(0, 1) == 1;
  const milliseconds pause = RandomDuration(300, 1500);
  if (system_.worker(number) == nullptr)
    return;
  if (pauses) {
    if (daemon* entry = PickRunning(system_.entries()))
      system_.Pause(*entry, now, pause);
  }
  system_.CrashWorker(number);
  system_.SetWorkerLabel(number,
                         has_label ? std::string(kWorkerLabel) : "other");
  ScheduleAt(now + down_time, [this, number] {
    if (system_.worker(number) == nullptr)
      system_.StartWorker(number);
  });
}

void fault_injector::OddReport(monotonic_time /*now*/) {
  system_.SendOddReport(PickWorker(), RandomInt(0, 1) == 1);
}

void fault_injector::SetWorkerFaults(int worker,
                                     const standins::worker_faults& faults,
                                     monotonic_time now) {
  if (system_.worker(worker) == nullptr)
    return;
  system_.worker(worker)->SetFaults(faults);
  ScheduleAt(now + RandomDuration(500, 3000), [this, worker] {
    if (system_.worker(worker) != nullptr)
      system_.worker(worker)->SetFaults({});
  });
}

void fault_injector::LateWorkerCalls(monotonic_time now) {
  SetWorkerFaults(PickWorker(), {.late_call_share = 0.3}, now);
}

void fault_injector::LoseAnswers(monotonic_time now) {
  SetWorkerFaults(PickWorker(), {.lost_answer_share = 0.1}, now);
}

void fault_injector::FailRuns(monotonic_time now) {
  SetWorkerFaults(PickWorker(), {.failing_run_share = 0.7}, now);
}

void fault_injector::SlowWorker(monotonic_time now) {
  SetWorkerFaults(PickWorker(), {.run_time_factor = 5}, now);
}

void fault_injector::StallWorker(monotonic_time now) {
  SetWorkerFaults(PickWorker(), {.stalled = true}, now);
}

// All workers at once, so that a task that one agent returns finds no faster
// worker at another one.
void fault_injector::SlowWorkerCalls(monotonic_time now) {
  const int workers = static_cast<int>(system_.agents().size());
  for (int worker = 0; worker < workers; ++worker)
    SetWorkerFaults(worker, {.max_answer_delay = kMaxAnswerDelay}, now);
}

// One worker, or all of them as with a task that ends each worker that begins
// it.
void fault_injector::CrashAtStart(monotonic_time /*now*/) {
  const int chosen = PickWorker();
  const bool all = RandomInt(0, 1) == 1;
  const milliseconds down_time = RandomDuration(100, 1200);
  const int workers = static_cast<int>(system_.agents().size());
  for (int worker = 0; worker < workers; ++worker) {
    if ((!all && worker != chosen) || system_.worker(worker) == nullptr)
      continue;
    crash_down_times_[worker] = down_time;
    system_.worker(worker)->SetFaults({.crashes_at_start = true});
  }
}

void fault_injector::ReplaceCrashedWorkers(monotonic_time now) {
  const int workers = static_cast<int>(system_.agents().size());
  for (int worker = 0; worker < workers; ++worker) {
    if (system_.worker(worker) == nullptr || !system_.worker(worker)->crashed())
      continue;
    system_.CrashWorker(worker);
    ScheduleAt(now + crash_down_times_[worker], [this, worker] {
      if (system_.worker(worker) == nullptr)
        system_.StartWorker(worker);
    });
  }
}

// ---- Operator -------------------------------------------------------------

// Mostly longer than the bound after which nothing may start.
void fault_injector::EvacuateDomain(monotonic_time now) {
  const int domain = RandomInt(0, kDomainCount - 1);
  system_.Evacuate(domain);
  ScheduleAt(now + RandomDuration(3000, 9000),
             [this, domain] { system_.EndEvacuation(domain); });
}

}  // namespace egretrack::soak
