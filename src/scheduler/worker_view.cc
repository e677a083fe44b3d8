#include "scheduler/worker_view.h"

#include <algorithm>

namespace egretrack::scheduler {
namespace {

// Frames are delayed by seconds at most, in which an agent restarts a few
// times.
constexpr std::size_t kMaxProcesses = 16;

}  // namespace

std::string_view worker_view::machine_class() const {
  if (!worker || worker->labels.empty())
    return {};
  return worker->labels.front();
}

bool worker_view::HasLabel(std::string_view label) const {
  return worker &&
         std::ranges::find(worker->labels, label) != worker->labels.end();
}

void worker_view::BeginSession(const agent_session& new_session) {
  session = new_session;
  dispatch_count_ = 0;
  unacknowledged_.clear();
  load_ = {};
}

bool worker_view::IsEarlier(const agent_session& other) const {
  if (other.agent_incarnation == session.agent_incarnation)
    return other.connection < session.connection;
  const auto current = std::ranges::find(processes_, session.agent_incarnation);
  return current != processes_.end() &&
         std::find(processes_.begin(), current, other.agent_incarnation) !=
             current;
}

void worker_view::RecordProcess(incarnation process) {
  if (std::ranges::find(processes_, process) != processes_.end())
    return;
  processes_.push_back(process);
  if (processes_.size() > kMaxProcesses)
    processes_.pop_front();
}

void worker_view::UpdateLoad(const wire::worker_load& load,
                             monotonic_time now) {
  load_ = load;
  last_contact = now;
  while (!unacknowledged_.empty() &&
         unacknowledged_.front().number <= load.dispatches_seen)
    unacknowledged_.pop_front();
}

void worker_view::RecordDispatch(const resources& need) {
  unacknowledged_.push_back({++dispatch_count_, need});
}

resources worker_view::FreeResources() const {
  resources free = load_.free;
  for (const unacknowledged_dispatch& dispatch : unacknowledged_)
    free -= dispatch.need;
  return free;
}

std::int64_t worker_view::UnacknowledgedCpu() const {
  std::int64_t cpu = 0;
  for (const unacknowledged_dispatch& dispatch : unacknowledged_)
    cpu += dispatch.need.cpu_milli;
  return cpu;
}

microseconds worker_view::PredictWait(const resources& need,
                                      microseconds typical_run_time) const {
  const resources free = FreeResources();
  if (free.Fits(need))
    return microseconds(0);
  if (!worker || worker->capacity.cpu_milli <= 0)
    return typical_run_time;
  // Dispatches that the load report does not include yet are assumed to finish
  // at the rate at which the worker's full capacity turns over.
  const std::int64_t excess =
      std::min(UnacknowledgedCpu(),
               std::max<std::int64_t>(need.cpu_milli - free.cpu_milli, 0));
  return load_.wait + typical_run_time * excess / worker->capacity.cpu_milli;
}

microseconds worker_view::PredictRoomWait(const resources& need,
                                          microseconds typical_run_time) const {
  const resources free = FreeResources();
  if (free.Fits(need) || !worker)
    return microseconds(0);
  double share = 0;
  const auto count = [&share](std::int64_t needed, std::int64_t available,
                              std::int64_t capacity) {
    if (needed > available && capacity > 0) {
      share = std::max(share, static_cast<double>(needed - available) /
                                  static_cast<double>(capacity));
    }
  };
  count(need.cpu_milli, free.cpu_milli, worker->capacity.cpu_milli);
  count(need.memory_mb, free.memory_mb, worker->capacity.memory_mb);
  count(need.gpus, free.gpus, worker->capacity.gpus);
  return Scale(typical_run_time, share);
}

}  // namespace egretrack::scheduler
