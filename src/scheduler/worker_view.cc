#include "scheduler/worker_view.h"

#include <algorithm>

namespace egretrack::scheduler {

std::string_view worker_view::machine_class() const {
  if (!worker || worker->labels.empty())
    return {};
  return worker->labels.front();
}

bool worker_view::HasLabel(std::string_view label) const {
  return worker &&
         std::ranges::find(worker->labels, label) != worker->labels.end();
}

void worker_view::BeginSession(const agent_session& begun) {
  session = begun;
  dispatched_ = 0;
  unseen_.clear();
  load_ = {};
}

void worker_view::ObserveLoad(const wire::worker_load& load,
                              monotonic_time now) {
  load_ = load;
  heard = now;
  while (!unseen_.empty() && unseen_.front().number <= load.dispatches_seen)
    unseen_.pop_front();
}

void worker_view::NoteDispatch(const resources& need) {
  unseen_.push_back({++dispatched_, need});
}

resources worker_view::Free() const {
  resources free = load_.free;
  for (const unseen_dispatch& dispatch : unseen_)
    free -= dispatch.need;
  return free;
}

microseconds worker_view::PredictWait(const resources& need,
                                      microseconds typical) const {
  const resources free = Free();
  if (free.Fits(need))
    return microseconds(0);
  if (!worker || worker->capacity.cpu_milli <= 0)
    return typical;
  // What the agent did not count yet is served at the rate at which its whole
  // room turns over.
  std::int64_t unseen_cpu = 0;
  for (const unseen_dispatch& dispatch : unseen_)
    unseen_cpu += dispatch.need.cpu_milli;
  const std::int64_t excess = std::min(
      unseen_cpu, std::max<std::int64_t>(need.cpu_milli - free.cpu_milli, 0));
  return load_.wait + typical * excess / worker->capacity.cpu_milli;
}

}  // namespace egretrack::scheduler
