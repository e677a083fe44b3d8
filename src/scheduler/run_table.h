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

// One dispatched task at an agent, until it has ended.
struct agent_run {
  run_lifecycle life;
  entry_index entry = 0;
  connection_number connection{};
  std::uint64_t job = 0;
  std::uint32_t task = 0;
  std::uint32_t attempt = 0;
  run_name name;
  resources need;
  std::string spec;
  microseconds predicted{0};
  monotonic_time received;
  monotonic_time start_by;     // On our clock.
  monotonic_time target;       // The result is late after it.
  monotonic_time return_at;    // Given back when it has not started by then.
  monotonic_time started{};    // The first order to the worker was sent.
  monotonic_time confirmed{};  // The worker was known to run it.
  std::uint32_t resends = 0;   // Of the order that waits for an answer.
  std::uint32_t renumbered = 0;
  std::uint32_t percent = 0;
  monotonic_time progressed{};
  bool stop_in_flight = false;
  bool stop_accepted = false;
  monotonic_time stop_ordered{};  // First time.
  monotonic_time next_stop{};
  monotonic_time stop_accepted_at{};
  bool reported = false;  // The entry needs no further report.
  wire::run_reason reason = wire::run_reason::kNone;  // Why it is stopped.
};

// The runs of an agent by number, and what they mean for the worker's room.
class run_table {
 public:
  using runs = std::map<std::uint64_t, agent_run>;

  std::uint64_t Add(agent_run run);
  void Erase(std::uint64_t number) { runs_.erase(number); }

  runs& all() { return runs_; }
  const runs& all() const { return runs_; }

  agent_run* Find(std::uint64_t number);
  // The run that the worker knows by `name`; nullptr when there is none.
  runs::value_type* FindNamed(const run_name& name);

  std::size_t CountQueued() const;
  std::size_t CountAtWorker() const { return runs_.size() - CountQueued(); }
  bool HasRunsOf(entry_index entry) const;

  // Room of the runs at the worker.
  resources Used() const;

  // The queued run that should start next among those that fit into `free` and
  // whose task does not run here yet; nullptr when there is none.
  runs::value_type* NextToStart(const resources& free, monotonic_time now);

  // Predicted wait of a further task of common size.
  microseconds PredictWait(const resources& capacity, monotonic_time now) const;
  // The worker's room less what runs and what is queued; may be negative.
  resources Free(const resources& capacity) const;

 private:
  bool IsBlocked(const agent_run& run) const;
  microseconds QueuedWork() const;

  runs runs_;
  std::uint64_t last_number_ = 0;
};

}  // namespace egretrack::scheduler

#endif  // EGRETRACK_SCHEDULER_RUN_TABLE_H_
