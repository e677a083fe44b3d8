#include "scheduler/run_table.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "scheduler/start_order.h"

namespace egretrack::scheduler {
namespace {

// Need that PredictWait() assumes of one more task: two cores.
constexpr resources kTypicalNeed{2000, 0, 0};
// Expected remaining time of a run that has exceeded its prediction, as a share
// of its age.
constexpr double kOverrunFactor = 0.5;

bool IsQueued(const agent_run& run) {
  return run.lifecycle.phase() == run_phase::kQueued;
}

microseconds PredictRemaining(const agent_run& run, monotonic_time now) {
  const microseconds age = now - run.started;
  if (age < run.predicted)
    return run.predicted - age;
  return Scale(age, kOverrunFactor);
}

start_key StartPriority(const agent_run& run, monotonic_time now) {
  return MakeStartKey({.target = run.target,
                       .virtual_deadline = run.virtual_deadline,
                       .start_by = run.start_by,
                       .received = run.received,
                       .predicted = run.predicted},
                      now);
}

struct resource_release {
  microseconds at;
  std::int64_t cpu_milli = 0;
};

}  // namespace

std::uint64_t run_table::Add(agent_run run) {
  runs_.emplace(++last_key_, std::move(run));
  return last_key_;
}

agent_run* run_table::Find(std::uint64_t key) {
  const auto found = runs_.find(key);
  return found == runs_.end() ? nullptr : &found->second;
}

run_table::runs::value_type* run_table::FindAtWorker(const run_id& id) {
  const auto found = std::find_if(runs_.begin(), runs_.end(), [&](auto& entry) {
    return !IsQueued(entry.second) && entry.second.id == id;
  });
  return found == runs_.end() ? nullptr : &*found;
}

std::size_t run_table::CountQueued() const {
  return static_cast<std::size_t>(
      std::count_if(runs_.begin(), runs_.end(),
                    [](const auto& entry) { return IsQueued(entry.second); }));
}

bool run_table::HasRunsOf(entry_index entry) const {
  return std::any_of(runs_.begin(), runs_.end(), [entry](const auto& item) {
    return item.second.entry == entry;
  });
}

resources run_table::UsedResources() const {
  resources used;
  for (const auto& [key, run] : runs_) {
    if (run.lifecycle.holds_resources())
      used += run.need;
  }
  return used;
}

resources run_table::FreeResources(const resources& capacity) const {
  resources free = capacity;
  for (const auto& [key, run] : runs_)
    free -= run.need;
  return free;
}

// A resubmitted job may arrive while a run of its first submission is still
// being stopped.
bool run_table::HasOtherRunOfTask(const agent_run& run) const {
  return std::any_of(runs_.begin(), runs_.end(), [&](const auto& entry) {
    const agent_run& other = entry.second;
    return other.lifecycle.holds_resources() && other.id.step == run.id.step &&
           other.id.index == run.id.index && other.id.job_key == run.id.job_key;
  });
}

run_table::runs::value_type* run_table::NextToStart(const resources& free,
                                                    monotonic_time now) {
  runs::value_type* best = nullptr;
  for (auto& entry : runs_) {
    const agent_run& run = entry.second;
    if (!IsQueued(run) || !free.Fits(run.need) || HasOtherRunOfTask(run))
      continue;
    if (best == nullptr ||
        StartPriority(run, now) < StartPriority(best->second, now)) {
      best = &entry;
    }
  }
  return best;
}

// CPU time of all queued runs, in microseconds of a thousandth of a core.
microseconds run_table::QueuedWork() const {
  microseconds work{0};
  for (const auto& [key, run] : runs_) {
    if (IsQueued(run))
      work += run.predicted * run.need.cpu_milli;
  }
  return work;
}

// Simulates the release of resources in the order of the predicted ends until
// all queued runs and one more task fit.
microseconds run_table::PredictWait(const resources& capacity,
                                    monotonic_time now) const {
  std::int64_t missing_cpu =
      kTypicalNeed.cpu_milli - FreeResources(capacity).cpu_milli;
  if (missing_cpu <= 0)
    return microseconds(0);
  std::vector<resource_release> releases;
  for (const auto& [key, run] : runs_) {
    if (run.lifecycle.holds_resources())
      releases.push_back({PredictRemaining(run, now), run.need.cpu_milli});
  }
  std::ranges::sort(releases, {}, &resource_release::at);
  microseconds wait{0};
  for (const resource_release& next : releases) {
    wait = next.at;
    missing_cpu -= next.cpu_milli;
    if (missing_cpu <= 0)
      return wait;
  }
  // The running runs do not release enough, so the queued work has to be done
  // first as well.
  return wait + QueuedWork() / std::max<std::int64_t>(capacity.cpu_milli, 1);
}

}  // namespace egretrack::scheduler
