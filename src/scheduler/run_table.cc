#include "scheduler/run_table.h"

#include <algorithm>
#include <tuple>
#include <utility>
#include <vector>

namespace egretrack::scheduler {
namespace {

// What the prediction assumes of a further task when nothing runs that could
// tell: two cores.
constexpr resources kCommonNeed{2000, 0, 0};
// A run that has exceeded its prediction is taken to need this share of its
// age again.
constexpr double kOverrunShare = 0.5;

bool IsQueued(const agent_run& run) {
  return run.life.phase() == run_phase::kQueued;
}

microseconds Remaining(const agent_run& run, monotonic_time now) {
  const microseconds age = now - run.started;
  if (age < run.predicted)
    return run.predicted - age;
  return Scale(age, kOverrunShare);
}

// Runs that can still be on time go first, the one with the earliest target
// first; then late ones, the one with the earliest limit first.
auto Urgency(const agent_run& run, monotonic_time now) {
  const bool late = now + run.predicted > run.target;
  return std::tuple(late, late ? run.start_by : run.target, run.received);
}

struct release {
  microseconds at;
  std::int64_t cpu_milli = 0;
};

}  // namespace

std::uint64_t run_table::Add(agent_run run) {
  runs_.emplace(++last_number_, std::move(run));
  return last_number_;
}

agent_run* run_table::Find(std::uint64_t number) {
  const auto found = runs_.find(number);
  return found == runs_.end() ? nullptr : &found->second;
}

run_table::runs::value_type* run_table::FindNamed(const run_name& name) {
  const auto found = std::find_if(runs_.begin(), runs_.end(), [&](auto& entry) {
    return !IsQueued(entry.second) && entry.second.name == name;
  });
  return found == runs_.end() ? nullptr : &*found;
}

std::size_t run_table::CountQueued() const {
  return static_cast<std::size_t>(
      std::count_if(runs_.begin(), runs_.end(),
                    [](const auto& entry) { return IsQueued(entry.second); }));
}

bool run_table::HasRunsOf(entry_index entry) const {
  return std::any_of(runs_.begin(), runs_.end(), [entry](const auto& held) {
    return held.second.entry == entry;
  });
}

resources run_table::Used() const {
  resources used;
  for (const auto& [number, run] : runs_) {
    if (run.life.holds_room())
      used += run.need;
  }
  return used;
}

resources run_table::Free(const resources& capacity) const {
  resources free = capacity;
  for (const auto& [number, run] : runs_)
    free -= run.need;
  return free;
}

// A job that was sent again may reach us while a run of its first submission
// is being stopped.
bool run_table::IsBlocked(const agent_run& run) const {
  return std::any_of(runs_.begin(), runs_.end(), [&](const auto& entry) {
    const agent_run& other = entry.second;
    return other.life.holds_room() && other.name.step == run.name.step &&
           other.name.index == run.name.index &&
           other.name.job_key == run.name.job_key;
  });
}

run_table::runs::value_type* run_table::NextToStart(const resources& free,
                                                    monotonic_time now) {
  runs::value_type* best = nullptr;
  for (auto& entry : runs_) {
    const agent_run& run = entry.second;
    if (!IsQueued(run) || !free.Fits(run.need) || IsBlocked(run))
      continue;
    if (best == nullptr || Urgency(run, now) < Urgency(best->second, now)) {
      best = &entry;
    }
  }
  return best;
}

// In microseconds of a thousandth of a core.
microseconds run_table::QueuedWork() const {
  microseconds work{0};
  for (const auto& [number, run] : runs_) {
    if (IsQueued(run))
      work += run.predicted * run.need.cpu_milli;
  }
  return work;
}

// Lets the runs release their room in the order of their predicted ends until
// everything queued and one more task fit.
microseconds run_table::PredictWait(const resources& capacity,
                                    monotonic_time now) const {
  std::int64_t missing = kCommonNeed.cpu_milli - Free(capacity).cpu_milli;
  if (missing <= 0)
    return microseconds(0);
  std::vector<release> releases;
  for (const auto& [number, run] : runs_) {
    if (run.life.holds_room())
      releases.push_back({Remaining(run, now), run.need.cpu_milli});
  }
  std::ranges::sort(releases, {}, &release::at);
  microseconds wait{0};
  for (const release& next : releases) {
    wait = next.at;
    missing -= next.cpu_milli;
    if (missing <= 0)
      return wait;
  }
  // More is queued than runs, or nothing runs yet: what is queued has to be
  // worked off as well.
  return wait + QueuedWork() / std::max<std::int64_t>(capacity.cpu_milli, 1);
}

}  // namespace egretrack::scheduler
