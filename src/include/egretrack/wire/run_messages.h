#ifndef EGRETRACK_WIRE_RUN_MESSAGES_H_
#define EGRETRACK_WIRE_RUN_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "egretrack/base/ids.h"
#include "egretrack/base/resources.h"
#include "egretrack/base/time.h"

// Messages between entries and agents for jobs that are not persisted: their
// tasks run under a lease that the agent holds at its worker, and may run more
// than once.
namespace egretrack::wire {

// Outcome of a run.
enum class run_end : std::uint8_t {
  kDone = 1,
  kFailed,   // The worker reported a failure.
  kRefused,  // The task has not run and will not run.
  // The run ended without a result because it was stopped, its lease lapsed or
  // its worker was lost.
  kLost,
};

// Reason for an outcome other than kDone.
enum class run_reason : std::uint8_t {
  kNone = 0,
  kNoWorker,
  kDraining,
  kTooLate,        // run_dispatch::start_by had passed.
  kQueuedTooLong,  // Another agent may have free resources sooner.
  kNoRoom,         // The worker refused the run for lack of resources.
  kWorkerRefused,
  // The start call got no answer; the run was stopped and can no longer start.
  kUnanswered,
  kStalled,  // The run made no progress.
  kLeaseLapsed,
  kWorkerLost,
  kEntrySilent,
  kEvacuated,  // The worker's failure domain is evacuated.
  // The agent has another worker by now than the one that was chosen.
  kWorkerChanged,
};

// Stable names for logs, for example "queued_too_long".
std::string_view Name(run_end end);
std::string_view Name(run_reason reason);

// An entry process that agents connect to.
struct entry_member {
  std::string id;
  std::string address;  // "ip:port", for agents.

  bool operator==(const entry_member&) const = default;
};

// Whether a failure domain is evacuated: its workers start nothing new. Of two
// values for one domain the one with the higher version holds.
struct domain_evacuation {
  std::string domain;
  std::uint64_t version = 0;  // Of the store, when the value was set.
  bool evacuated = false;

  bool operator==(const domain_evacuation&) const = default;
};

// ---- Agent to entry -------------------------------------------------------

// Load of the agent's worker. Replaces the load in all earlier frames.
struct worker_load {
  std::uint64_t dispatches_seen = 0;  // Received on this connection.
  resources free;                     // Less the needs of queued tasks.
  std::uint32_t queued = 0;           // Tasks that wait for resources.
  microseconds wait{0};  // Predicted for one more task of common size.

  bool operator==(const worker_load&) const = default;
};

struct worker_facts {
  std::string id;
  std::string desk;
  std::vector<std::string> labels;  // The first is the machine class.
  resources capacity;
  // Changes whenever any of the above, or the incarnation of the worker, does.
  // Unset in frames of earlier releases.
  std::optional<std::uint64_t> revision = std::nullopt;

  bool operator==(const worker_facts&) const = default;
};

struct agent_beat {
  std::uint64_t sequence = 0;
  std::string failure_domain;
  std::uint64_t members_hash = 0;    // Of the entries known to the agent.
  std::vector<worker_facts> worker;  // One, or none without a worker.
  bool draining = false;             // The agent or its worker is draining.
  // Every run of earlier connections and incarnations of the agent has ended.
  bool settled = false;
  std::uint64_t evacuations_hash = 0;  // Of those known to the agent.
  // Empty unless the entry's last hash differs.
  std::vector<domain_evacuation> evacuations;

  bool operator==(const agent_beat&) const = default;
};

struct run_report {
  std::uint64_t job = 0;  // As in the dispatch.
  std::uint32_t task = 0;
  std::uint32_t attempt = 0;
  run_end end = run_end::kRefused;
  run_reason reason = run_reason::kNone;
  microseconds queued{0};
  microseconds ran{0};

  bool operator==(const run_report&) const = default;
};

using agent_run_message = std::variant<agent_beat, run_report>;

struct agent_run_frame {
  std::string agent;
  incarnation agent_incarnation{};
  connection_number connection{};
  // The entry process that has answered on this connection, to which all
  // reports in the frame belong; incarnation{} before its first answer. Unset
  // in frames of earlier releases.
  std::optional<incarnation> entry_incarnation;
  worker_load load;
  std::vector<agent_run_message> messages;

  bool operator==(const agent_run_frame&) const = default;
};

// ---- Entry to agent -------------------------------------------------------

struct beat_reply {
  std::uint64_t sequence = 0;  // Of the agent_beat that is answered.
  std::uint64_t members_hash = 0;
  std::vector<entry_member> members;  // Empty when the agent's hash is equal.
  // The entry lost frames of this connection; the agent must open a new one.
  bool reconnect = false;
  std::uint64_t evacuations_hash = 0;
  // Empty when the agent's hash is equal.
  std::vector<domain_evacuation> evacuations;

  bool operator==(const beat_reply&) const = default;
};

struct run_dispatch {
  std::uint64_t job = 0;  // Number of the job at its entry.
  std::uint32_t task = 0;
  std::uint32_t attempt = 0;  // Counts the dispatches of the task, from 1.
  std::string job_key;        // Name that the caller gave the job.
  std::uint32_t step = 0;
  std::uint32_t index = 0;  // Within the step.
  resources need;
  std::string spec;
  microseconds predicted{0};  // Run time on this worker.
  monotonic_time start_by{};  // On the entry's clock.
  // Time left until the result is late; negative when it already is.
  microseconds target{0};
  // The agent returns the task if it has not started within this time.
  microseconds queue_bound{0};
  // Agents start tasks in the order of these times, which are relative as
  // `target` is; equal to it for a dispatch of an earlier release.
  microseconds virtual_deadline{0};
  // worker_facts::revision of the worker for which the task is meant.
  std::optional<std::uint64_t> worker_revision;

  bool operator==(const run_dispatch&) const = default;
};

// Stops the listed tasks of a job, or all of its tasks if none is listed.
struct run_cancel {
  std::uint64_t job = 0;
  std::vector<std::uint32_t> tasks;

  bool operator==(const run_cancel&) const = default;
};

using entry_run_message = std::variant<beat_reply, run_dispatch, run_cancel>;

struct entry_run_frame {
  connection_number connection{};
  std::string entry;
  incarnation entry_incarnation{};
  monotonic_time entry_time{};  // The entry's clock when it built the frame.
  std::vector<entry_run_message> messages;

  bool operator==(const entry_run_frame&) const = default;
};

}  // namespace egretrack::wire

#endif  // EGRETRACK_WIRE_RUN_MESSAGES_H_
