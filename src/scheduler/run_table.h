#ifndef EGRETRACK_SCHEDULER_RUN_TABLE_H_
#define EGRETRACK_SCHEDULER_RUN_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "egretrack/base/resources.h"
#include "egretrack/base/time.h"
#include "egretrack/scheduler/run_supervisor.h"
#include "egretrack/wire/run_messages.h"
#include "scheduler/run_lifecycle.h"

namespace egretrack::scheduler {

// A dispatched task at an agent, kept until its run has ended.
struct agent_run {
  run_lifecycle lifecycle;
  entry_index entry = 0;
  connection_number connection{};
  std::uint64_t job = 0;
  std::uint32_t task = 0;
  std::uint32_t attempt = 0;
  run_id id;
  resources need;
  std::string spec;
  microseconds predicted{0};
  monotonic_time received;
  monotonic_time start_by;          // On the local clock.
  monotonic_time target;            // A result after this time is late.
  monotonic_time virtual_deadline;  // Orders starts.
  monotonic_time return_at;    // Returned to the entry if not started by then.
  monotonic_time started{};    // Time of the first start call.
  monotonic_time confirmed{};  // When the worker first confirmed the run.
  std::uint32_t resends = 0;   // Repetitions of the start call.
  // Start calls that the worker has not refused, under any number of the run.
  std::uint32_t unrefused_starts = 0;
  // The worker was found to have started again after one of these calls.
  bool restarted_since_start = false;
  std::uint64_t start_fence = 0;  // Token of the last start call.
  // When the last start call was answered or given up.
  monotonic_time start_resolved = monotonic_time::max();
  milliseconds lease_until{0};  // Requested by the last start call.
  milliseconds start_limit{0};  // Time limit of the last start call.
  // The worker's answer to the start call shows that the run's lease ends with
  // that of the incarnation that the agent follows.
  bool lease_confirmed = false;
  // The worker incarnation that the agent follows has answered a poll sent
  // after `start_resolved`, so that no start call can reach a later
  // incarnation.
  bool at_current_incarnation = false;
  std::uint32_t renumberings = 0;
  std::uint32_t percent = 0;
  monotonic_time last_progress{};
  bool stop_in_flight = false;
  std::uint64_t stop_fence = 0;  // Token of the last stop call.
  milliseconds stop_limit{0};    // Time limit of the last stop call.
  bool stop_accepted = false;
  monotonic_time stop_requested{};
  monotonic_time next_stop_call{};
  monotonic_time stop_accepted_at{};
  bool reported = false;  // No further report to the entry is needed.
  // Why the run is stopped.
  wire::run_reason stop_reason = wire::run_reason::kNone;
};

// The runs of an agent by a local key, and their use of the worker's resources.
class run_table {
 public:
  using runs = std::map<std::uint64_t, agent_run>;

  std::uint64_t Add(agent_run run);
  void Erase(std::uint64_t key) { runs_.erase(key); }

  runs& all() { return runs_; }
  const runs& all() const { return runs_; }

  agent_run* Find(std::uint64_t key);
  // The run that was sent to the worker as `id`, or nullptr.
  runs::value_type* FindAtWorker(const run_id& id);

  std::size_t CountQueued() const;
  std::size_t CountAtWorker() const { return runs_.size() - CountQueued(); }
  bool HasRunsOf(entry_index entry) const;

  // Resources of the runs at the worker.
  resources UsedResources() const;

  // The queued run to start next among those that fit into `free` and whose
  // task has no other run at the worker. Returns nullptr when there is none.
  runs::value_type* NextToStart(const resources& free, monotonic_time now);

  // Predicted wait of one more task with typical resource needs.
  microseconds PredictWait(const resources& capacity, monotonic_time now) const;
  // The worker's capacity less the needs of running and queued runs; may be
  // negative.
  resources FreeResources(const resources& capacity) const;

 private:
  bool HasOtherRunOfTask(const agent_run& run) const;
  microseconds QueuedWork() const;

  runs runs_;
  std::uint64_t last_key_ = 0;
};

}  // namespace egretrack::scheduler

#endif  // EGRETRACK_SCHEDULER_RUN_TABLE_H_
