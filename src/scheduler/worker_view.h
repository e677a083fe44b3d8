#ifndef EGRETRACK_SCHEDULER_WORKER_VIEW_H_
#define EGRETRACK_SCHEDULER_WORKER_VIEW_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "egretrack/base/ids.h"
#include "egretrack/base/resources.h"
#include "egretrack/base/time.h"
#include "egretrack/decision/entry_core.h"
#include "egretrack/wire/run_messages.h"
#include "scheduler/worker_health.h"

namespace egretrack::scheduler {

// One life of a link from an agent.
struct agent_session {
  incarnation agent_incarnation{};
  connection_number connection{};

  bool operator==(const agent_session&) const = default;
};

// What an entry knows of one agent and its worker.
class worker_view {
 public:
  explicit worker_view(std::string agent) : agent_(std::move(agent)) {}

  const std::string& agent() const { return agent_; }
  std::string_view machine_class() const;
  bool HasLabel(std::string_view label) const;

  // Takes over what a frame of the present session says.
  void ObserveLoad(const wire::worker_load& load, monotonic_time now);
  void NoteDispatch(const resources& need);

  // Room less what was sent since the agent's last word; may be negative.
  resources Free() const;
  // Predicted wait of a task that needs `need`, of which `typical` is the
  // common run time.
  microseconds PredictWait(const resources& need, microseconds typical) const;

  decision::link_id link{};
  agent_session session;
  std::string failure_domain;
  std::optional<wire::worker_facts> worker;
  bool draining = false;
  monotonic_time heard{};
  monotonic_time last_sent{};  // The last frame to the agent, on any session.
  bool silent = false;
  bool preferred = true;  // Among those that this entry works with first.
  // Outstanding runs of earlier sessions have ended by then; none are
  // outstanding when it is not set.
  std::optional<monotonic_time> old_runs_end;
  worker_health health;
  std::uint32_t outstanding = 0;
  std::vector<wire::entry_run_message> outgoing;

  // Starts a session: nothing was dispatched on it.
  void BeginSession(const agent_session& begun);

 private:
  struct unseen_dispatch {
    std::uint64_t number = 0;
    resources need;
  };

  std::string agent_;
  wire::worker_load load_;
  std::uint64_t dispatched_ = 0;
  std::deque<unseen_dispatch> unseen_;
};

}  // namespace egretrack::scheduler

#endif  // EGRETRACK_SCHEDULER_WORKER_VIEW_H_
