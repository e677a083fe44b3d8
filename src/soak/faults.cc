#include "soak/faults.h"

#include <array>
#include <utility>

namespace egretrack::soak {
namespace {

constexpr milliseconds kFirst{1500};  // Callers have work under way by then.
constexpr int kShortestPauseMs = 50;
constexpr int kLongestPauseMs = 900;

}  // namespace

faults::faults(deployment& system, std::uint64_t seed)
    : system_(system), random_(seed), next_(monotonic_clock::now() + kFirst) {}

int faults::Number(int low, int high) {
  return std::uniform_int_distribution<int>(low, high)(random_);
}

milliseconds faults::Length(int shortest, int longest) {
  return milliseconds(Number(shortest, longest));
}

void faults::Later(monotonic_time at, std::function<void()> action) {
  pending_.push({at, std::move(action)});
}

// One that runs and is not being ended or paused.
daemon* faults::PickUp(std::vector<daemon>& group) {
  daemon& picked = group[static_cast<std::size_t>(
      Number(0, static_cast<int>(group.size()) - 1))];
  const bool up = !picked.start_at && !picked.kill_at && !picked.paused;
  return up ? &picked : nullptr;
}

int faults::PickWorker() {
  return Number(0, static_cast<int>(system_.agents().size()) - 1);
}

void faults::Advance(monotonic_time now) {
  while (!pending_.empty() && pending_.top().at <= now) {
    const auto action = pending_.top().action;
    pending_.pop();
    action();
  }
  if (now < next_)
    return;
  next_ = now + Length(kShortestPauseMs, kLongestPauseMs);
  struct kind {
    const char* name;
    inject begin;
  };
  static constexpr std::array kKinds{
      kind{"kill_entry", &faults::KillEntry},
      kind{"kill_agent", &faults::KillAgent},
      kind{"pause_entry", &faults::PauseEntry},
      kind{"pause_agent", &faults::PauseAgent},
      kind{"terminate_entry", &faults::TerminateEntry},
      kind{"terminate_agent", &faults::TerminateAgent},
      kind{"kill_all", &faults::KillAll},
      kind{"cut_entry", &faults::CutEntry},
      kind{"silence_entry", &faults::SilenceEntry},
      kind{"block_entry", &faults::BlockEntry},
      kind{"delay_entry", &faults::DelayEntry},
      kind{"delay_worker", &faults::DelayWorker},
      kind{"cut_worker", &faults::CutWorker},
      kind{"disturb_store", &faults::DisturbStore},
      kind{"forget_history", &faults::ForgetHistory},
      kind{"publish", &faults::Publish},
      kind{"crash_worker", &faults::CrashWorker},
      kind{"late_orders", &faults::LateOrders},
      kind{"lose_answers", &faults::LoseAnswers},
      kind{"fail_runs", &faults::FailRuns},
      kind{"slow_worker", &faults::SlowWorker},
      kind{"stall_worker", &faults::StallWorker},
  };
  const kind& chosen = kKinds[static_cast<std::size_t>(
      Number(0, static_cast<int>(kKinds.size()) - 1))];
  injected_.emplace_back(chosen.name);
  (this->*chosen.begin)(now);
}

// ---- Processes ------------------------------------------------------------

void faults::KillEntry(monotonic_time now) {
  if (daemon* entry = PickUp(system_.entries()))
    system_.Kill(*entry, now, Length(100, 1500));
}

void faults::KillAgent(monotonic_time now) {
  if (daemon* agent = PickUp(system_.agents()))
    system_.Kill(*agent, now, Length(100, 1500));
}

void faults::PauseEntry(monotonic_time now) {
  if (daemon* entry = PickUp(system_.entries()))
    system_.Pause(*entry, now, Length(100, 3000));
}

void faults::PauseAgent(monotonic_time now) {
  if (daemon* agent = PickUp(system_.agents()))
    system_.Pause(*agent, now, Length(100, 3000));
}

void faults::TerminateEntry(monotonic_time now) {
  if (daemon* entry = PickUp(system_.entries()))
    system_.Terminate(*entry, now, Length(100, 500));
}

void faults::TerminateAgent(monotonic_time now) {
  if (daemon* agent = PickUp(system_.agents()))
    system_.Terminate(*agent, now, Length(100, 500));
}

void faults::KillAll(monotonic_time now) {
  // Rare: little else can be seen while everything starts again.
  if (Number(0, 2) > 0)
    return;
  const milliseconds down = Length(100, 800);
  for (auto* group : {&system_.entries(), &system_.agents()}) {
    for (daemon& each : *group) {
      if (!each.start_at && !each.kill_at && !each.paused)
        system_.Kill(each, now, down);
    }
  }
}

// ---- Connections ----------------------------------------------------------

void faults::CutEntry(monotonic_time /*now*/) {
  if (daemon* entry = PickUp(system_.entries()))
    entry->in->CloseConnections();
}

void faults::SilenceEntry(monotonic_time /*now*/) {
  if (daemon* entry = PickUp(system_.entries()))
    entry->in->BlackholeConnections();
}

void faults::BlockEntry(monotonic_time now) {
  daemon* entry = PickUp(system_.entries());
  if (entry == nullptr)
    return;
  entry->in->BlackholeConnections();
  entry->in->BlackholeNewConnections(true);
  Later(now + Length(300, 2500),
        [relay = entry->in.get()] { relay->BlackholeNewConnections(false); });
}

void faults::DelayEntry(monotonic_time now) {
  daemon* entry = PickUp(system_.entries());
  if (entry == nullptr)
    return;
  entry->in->SetDelay(Length(20, 400));
  Later(now + Length(300, 2000),
        [relay = entry->in.get()] { relay->SetDelay(milliseconds(0)); });
}

void faults::DelayWorker(monotonic_time now) {
  daemon& agent = system_.agents()[static_cast<std::size_t>(PickWorker())];
  agent.in->SetDelay(Length(5, 150));
  Later(now + Length(300, 2000),
        [relay = agent.in.get()] { relay->SetDelay(milliseconds(0)); });
}

void faults::CutWorker(monotonic_time /*now*/) {
  system_.agents()[static_cast<std::size_t>(PickWorker())]
      .in->CloseConnections();
}

// ---- The store ------------------------------------------------------------

void faults::DisturbStore(monotonic_time now) {
  constexpr std::array kModes{standins::store_mode::kRefusing,
                              standins::store_mode::kSilent,
                              standins::store_mode::kLosingAnswers};
  system_.store().SetMode(kModes[static_cast<std::size_t>(Number(0, 2))]);
  Later(now + Length(300, 2500),
        [this] { system_.store().SetMode(standins::store_mode::kServing); });
}

void faults::ForgetHistory(monotonic_time /*now*/) {
  system_.store().ForgetHistory();
  system_.store_relay().CloseConnections();
}

void faults::Publish(monotonic_time /*now*/) {
  system_.Publish();
}

// ---- Workers --------------------------------------------------------------

void faults::CrashWorker(monotonic_time now) {
  const int number = PickWorker();
  if (system_.worker(number) == nullptr)
    return;
  system_.CrashWorker(number);
  Later(now + Length(100, 2000), [this, number] {
    if (system_.worker(number) == nullptr)
      system_.StartWorker(number);
  });
}

void faults::Disturb(int worker,
                     const standins::worker_faults& faults,
                     monotonic_time now) {
  if (system_.worker(worker) == nullptr)
    return;
  system_.worker(worker)->SetFaults(faults);
  Later(now + Length(500, 3000), [this, worker] {
    if (system_.worker(worker) != nullptr)
      system_.worker(worker)->SetFaults({});
  });
}

void faults::LateOrders(monotonic_time now) {
  Disturb(PickWorker(), {.late_call_share = 0.3}, now);
}

void faults::LoseAnswers(monotonic_time now) {
  Disturb(PickWorker(), {.lost_answer_share = 0.1}, now);
}

void faults::FailRuns(monotonic_time now) {
  Disturb(PickWorker(), {.failing_run_share = 0.7}, now);
}

void faults::SlowWorker(monotonic_time now) {
  Disturb(PickWorker(), {.run_time_factor = 5}, now);
}

void faults::StallWorker(monotonic_time now) {
  Disturb(PickWorker(), {.stalled = true}, now);
}

}  // namespace egretrack::soak
