#ifndef EGRETRACK_SCHEDULER_RUN_SUPERVISOR_H_
#define EGRETRACK_SCHEDULER_RUN_SUPERVISOR_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "egretrack/base/ids.h"
#include "egretrack/base/resources.h"
#include "egretrack/base/result.h"
#include "egretrack/base/time.h"
#include "egretrack/scheduler/decision_record.h"
#include "egretrack/wire/run_messages.h"

// The agent's decisions: which tasks start on its worker, under which lease,
// and when they must be stopped. No other process sends calls to this worker.
namespace egretrack::scheduler {

// Index of an entry in the list of all entries that the agent has known.
// Entries are never removed from this list.
using entry_index = std::uint32_t;

// Identifies a run at the worker: a task of a job and the number of its start.
struct run_id {
  std::string job_key;
  std::uint32_t step = 0;
  std::uint32_t index = 0;
  std::uint32_t run_number = 0;

  auto operator<=>(const run_id&) const = default;
};

// ---- Events ---------------------------------------------------------------

struct entry_frame {
  entry_index entry = 0;
  wire::entry_run_frame frame;
};

// Periodic report of the worker about itself.
struct worker_report {
  std::string id;
  // Distinguishes restarts under the same id.
  std::int64_t worker_incarnation = 0;
  std::string desk;
  std::string address;  // "ip:port" for calls to the worker.
  std::vector<std::string> labels;
  resources capacity;
  std::uint64_t sequence = 0;  // Rises within a worker incarnation.
  bool draining = false;
};
struct worker_deregistered {
  std::string id;
};
// The worker as an earlier incarnation of the agent stored it. The worker may
// have left or been replaced since.
struct worker_restored {
  worker_report report;
};

// Outcome of a call to the worker.
enum class worker_call_result : std::uint8_t {
  kAccepted,
  kFenced,      // The worker has seen a higher fencing token.
  kSuperseded,  // The worker already stopped or ended a run of this task with
                // the same or a higher number.
  kTooLate,     // The lease had expired.
  kNoResources,
  kRejected,  // Malformed call or unhealthy worker; the call had no effect.
  kOtherIncarnation,  // A worker with another id answered.
  kUnreachable,       // No connection: the call was not sent.
  kUnanswered,        // The call may have taken effect, or may still do so.
};

struct start_answered {
  run_id id;
  worker_call_result result = worker_call_result::kUnanswered;
  std::optional<milliseconds> worker_clock;  // If kAccepted.
  std::string failure;  // Of a call without an answer, for the log.
  // From the call to its outcome; nullopt if not measured.
  std::optional<microseconds> call_time = std::nullopt;
};
struct stop_answered {
  run_id id;
  worker_call_result result = worker_call_result::kUnanswered;
  std::string failure;
  std::optional<microseconds> call_time = std::nullopt;
};

struct running_row {
  run_id id;
  std::uint32_t percent = 0;  // Progress reported by the worker.
};
struct ended_row {
  std::uint64_t sequence = 0;  // Rises within a worker incarnation.
  run_id id;
  wire::run_end end = wire::run_end::kDone;
};
// Response to a poll. The lists are complete only for kAccepted.
struct poll_answered {
  worker_call_result result = worker_call_result::kUnanswered;
  std::int64_t worker_incarnation = 0;
  milliseconds worker_clock{0};
  std::vector<running_row> running;
  std::vector<ended_row> ended;
  // `ended` is full, so that the worker may have more to list.
  bool more_ends = false;
  std::string failure;
  std::optional<microseconds> call_time = std::nullopt;  // With the wait.
};

// Entries that the agent may connect to, read from the settings or the store.
struct entries_discovered {
  std::vector<wire::entry_member> members;
};

struct agent_drain_requested {};

using supervisor_event = std::variant<entry_frame,
                                      worker_report,
                                      worker_deregistered,
                                      worker_restored,
                                      start_answered,
                                      stop_answered,
                                      poll_answered,
                                      entries_discovered,
                                      agent_drain_requested>;

// ---- Commands -------------------------------------------------------------

// Opens a link to the entry at `address`, or a new connection if the link
// exists.
struct open_link {
  entry_index entry = 0;
  std::string address;
};
struct close_link {
  entry_index entry = 0;
};
struct send_to_entry {
  entry_index entry = 0;
  wire::agent_run_frame frame;
};

// Destination and fencing token of every call to the worker.
struct worker_call_target {
  std::string address;
  std::string worker;
  std::uint64_t fence = 0;
};
struct start_run {
  worker_call_target target;
  run_id id;
  std::string spec;
  milliseconds lease_until{0};  // On the worker's clock.
  // The call is unanswered if it has no answer after this time.
  milliseconds time_limit{0};
};
struct stop_run {
  worker_call_target target;
  run_id id;
  milliseconds time_limit{0};
};
// Long poll of the worker. Lists the running and ended runs, renews the lease
// unless `lease_until` is 0, and acknowledges ended runs up to sequence
// `last_end_seen`, which the worker then drops from its list. The worker
// responds at once if `wait` is 0, otherwise when a run ends or after `wait`.
struct poll_worker {
  worker_call_target target;
  std::uint64_t last_end_seen = 0;
  milliseconds lease_until{0};
  milliseconds wait{0};
  milliseconds time_limit{0};  // In addition to `wait`.
};

// Stores the worker's report for the next incarnation of the agent.
struct store_worker {
  worker_report report;
};

struct agent_drain_finished {};

// The worker has answered a call of kind `call`, for example "poll". Without
// the wait of a poll.
struct worker_call_measured {
  std::string_view call;
  microseconds time{0};
};

using supervisor_command = std::variant<open_link,
                                        close_link,
                                        send_to_entry,
                                        start_run,
                                        stop_run,
                                        poll_worker,
                                        store_worker,
                                        decision_record,
                                        agent_drain_finished,
                                        worker_call_measured>;

// ---- The core -------------------------------------------------------------

struct supervisor_options {
  std::string agent;
  incarnation agent_incarnation{};
  std::string failure_domain;
  // Higher than the tokens of earlier incarnations.
  std::uint64_t first_fence = 1;
  // While the entry has runs at this agent.
  milliseconds heartbeat_interval{250};
  // While the entry has none.
  milliseconds idle_heartbeat_interval{1000};
  // Runs of an entry that has been silent for this time are stopped. Must be
  // well below the time after which callers resubmit their jobs to another
  // entry.
  milliseconds entry_silence{600};
  // A stop that the worker has not accepted within this time ends the renewal
  // of the lease.
  milliseconds stop_timeout{150};
  // Maximum time that the worker's runs continue after this process has ended.
  milliseconds lease{500};
  // Longest lease that a worker grants; it shortens longer ones.
  milliseconds longest_lease{1000};
  // Allows for several lost renewals within a lease.
  milliseconds renew_interval{30};
  // Three report intervals of the worker.
  milliseconds worker_report_timeout{5000};
  milliseconds drain_bound{5000};
  // Each uses one connection to the worker.
  std::uint32_t max_starts_in_flight = 8;
  // Bound on the relative error of the worker's clock rate.
  double clock_drift = 0.02;
};

// The longest time for which runs go on after the last sign of life of their
// entry: until it is silent, then until a stop has failed, then until the lease
// lapses.
milliseconds LongestUnattendedRun(const supervisor_options& options);

struct supervisor_counters {
  std::uint64_t dispatches = 0;
  std::uint64_t starts = 0;
  std::uint64_t ends = 0;
  std::uint64_t refusals = 0;
  std::uint64_t stops = 0;
  std::uint64_t losses = 0;
  std::uint64_t unanswered = 0;
  std::uint64_t stalls = 0;
  std::uint64_t reconnects = 0;
  std::uint64_t stale_frames = 0;
  // Of refusals: because the failure domain is evacuated.
  std::uint64_t evacuation_refusals = 0;
};

struct supervisor_gauges {
  std::size_t running = 0;
  std::size_t queued = 0;
  std::size_t entries = 0;
  resources free;
  bool has_worker = false;
  std::size_t evacuated_domains = 0;
  milliseconds call_limit{0};  // Of the next call to the worker.
};

// Performs no I/O, reads no clock and starts no thread. Owned by the control
// thread.
class run_supervisor {
 public:
  // Errors: errc::kInvalidArgument for options out of range.
  static result<std::unique_ptr<run_supervisor>> Create(
      supervisor_options options);
  virtual ~run_supervisor() = default;

  // Applies `event` and appends the resulting commands.
  virtual void Handle(supervisor_event event,
                      monotonic_time now,
                      std::vector<supervisor_command>& commands) = 0;
  // Performs all work that is due and appends the resulting commands. Returns
  // the time by which to call it again.
  virtual monotonic_time Advance(monotonic_time now,
                                 std::vector<supervisor_command>& commands) = 0;

  virtual const supervisor_counters& counters() const = 0;
  virtual supervisor_gauges gauges() const = 0;
};

}  // namespace egretrack::scheduler

#endif  // EGRETRACK_SCHEDULER_RUN_SUPERVISOR_H_
