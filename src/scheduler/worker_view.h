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
#include "scheduler/refusal_rate.h"
#include "scheduler/worker_health.h"

namespace egretrack::scheduler {

// One connection of one agent process.
struct agent_session {
  incarnation agent_incarnation{};
  connection_number connection{};

  bool operator==(const agent_session&) const = default;
};

// The state of one agent and its worker as known to an entry.
class worker_view {
 public:
  explicit worker_view(std::string agent) : agent_(std::move(agent)) {}

  const std::string& agent() const { return agent_; }
  std::string_view machine_class() const;
  bool HasLabel(std::string_view label) const;

  // Applies the load report of a frame of the current session.
  void UpdateLoad(const wire::worker_load& load, monotonic_time now);
  void RecordDispatch(const resources& need);

  // Free resources by the last load report, less those of dispatches that the
  // report does not include; may be negative.
  resources FreeResources() const;
  // Free CPU by the last load report, and the CPU of the dispatches that it
  // does not include.
  std::int64_t reported_free_cpu() const { return load_.free.cpu_milli; }
  std::int64_t UnacknowledgedCpu() const;
  // Predicted wait of a task that needs `need`; `typical_run_time` is the
  // predicted run time of such a task.
  microseconds PredictWait(const resources& need,
                           microseconds typical_run_time) const;
  // Time in which the worker frees the CPU that the task lacks, if its whole
  // capacity turns over once per `typical_run_time`. The wait of a load report
  // is that of a task with a small need.
  microseconds PredictRoomWait(const resources& need,
                               microseconds typical_run_time) const;

  decision::link_id link{};
  agent_session session;
  std::string failure_domain;
  std::optional<wire::worker_facts> worker;
  bool draining = false;
  monotonic_time last_contact{};
  monotonic_time busy_since{};  // First of the outstanding dispatches.
  monotonic_time last_sent{};   // Last frame to the agent, in any session.
  bool silent = false;
  // Rendezvous weight of the agent for this entry.
  std::uint64_t weight = 0;
  bool preferred = true;  // One of this entry's preferred agents.
  // Time by which all outstanding runs of earlier sessions have ended; unset if
  // there are none.
  std::optional<monotonic_time> previous_runs_end;
  worker_health health;
  refusal_rate refusals;
  std::uint32_t outstanding = 0;
  bool evacuated = false;  // The failure domain is evacuated.
  std::optional<monotonic_time> returned_at;  // End of the last evacuation.
  std::uint64_t evacuations_hash = 0;         // Of those known to the agent.
  std::vector<wire::entry_run_message> outgoing;

  // Starts a session without dispatches.
  void BeginSession(const agent_session& new_session);
  // Records that a process of the agent was heard of.
  void RecordProcess(incarnation process);
  // Whether the session is older than the current one: one of an earlier
  // connection, or of a process that was heard of before the current one.
  bool IsEarlier(const agent_session& other) const;

 private:
  struct unacknowledged_dispatch {
    std::uint64_t number = 0;
    resources need;
  };

  std::string agent_;
  // Processes of the agent in the order in which they were heard of first.
  std::deque<incarnation> processes_;
  wire::worker_load load_;
  std::uint64_t dispatch_count_ = 0;
  std::deque<unacknowledged_dispatch> unacknowledged_;
};

}  // namespace egretrack::scheduler

#endif  // EGRETRACK_SCHEDULER_WORKER_VIEW_H_
