#ifndef EGRETRACK_SCHEDULER_RUN_SUPERVISOR_H_
#define EGRETRACK_SCHEDULER_RUN_SUPERVISOR_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "egretrack/base/ids.h"
#include "egretrack/base/resources.h"
#include "egretrack/base/result.h"
#include "egretrack/base/time.h"
#include "egretrack/scheduler/decision_record.h"
#include "egretrack/wire/run_messages.h"

// The agent's decisions: which tasks start on its worker, under which lease,
// and when they must be stopped. The agent is the only caller of its worker.
namespace egretrack::scheduler {

// Position of an entry among those that the agent ever knew.
using entry_index = std::uint32_t;

// Names a run at the worker: a task of a job, and which start of it.
struct run_name {
  std::string job_key;
  std::uint32_t step = 0;
  std::uint32_t index = 0;
  std::uint32_t run = 0;

  auto operator<=>(const run_name&) const = default;
};

// ---- Events ---------------------------------------------------------------

struct entry_frame {
  entry_index entry = 0;
  wire::entry_run_frame frame;
};

// What the worker says of itself, again and again.
struct worker_report {
  std::string id;
  std::int64_t born = 0;  // Tells two lives under one id apart.
  std::string desk;
  std::string address;  // "ip:port" for orders.
  std::vector<std::string> labels;
  resources capacity;
  std::uint64_t sequence = 0;  // Within one life.
  bool draining = false;
};
struct worker_left {
  std::string id;
};
// What an earlier incarnation of the agent knew of the worker, which may be
// gone or another one by now.
struct worker_recalled {
  worker_report report;
};

// How an order to the worker ended.
enum class order_result : std::uint8_t {
  kAccepted,
  kFenced,      // It has seen a higher fencing token.
  kSuperseded,  // A run as high was stopped or ended there.
  kTooLate,     // The lease had passed.
  kNoRoom,
  kRejected,     // Malformed, or from an unhealthy worker; nothing was done.
  kOtherLife,    // Another incarnation answered.
  kUnreachable,  // Nobody listens there: the worker's process is gone.
  kUnanswered,   // It may have been carried out, or may be later.
};

struct start_answered {
  run_name name;
  order_result result = order_result::kUnanswered;
};
struct stop_answered {
  run_name name;
  order_result result = order_result::kUnanswered;
};

struct running_row {
  run_name name;
  std::uint32_t percent = 0;  // Done.
};
struct ended_row {
  std::uint64_t number = 0;  // Rises within one life of the worker.
  run_name name;
  wire::run_end end = wire::run_end::kDone;
};
// Answer to a look; the lists are whole only when it was accepted.
struct look_answered {
  order_result result = order_result::kUnanswered;
  std::int64_t born = 0;
  milliseconds worker_clock{0};
  std::vector<running_row> running;
  std::vector<ended_row> ended;
};

// Entries that the agent may connect to, from the settings or the store.
struct entries_found {
  std::vector<wire::entry_member> members;
};

struct agent_drain_requested {};

using supervisor_event = std::variant<entry_frame,
                                      worker_report,
                                      worker_left,
                                      worker_recalled,
                                      start_answered,
                                      stop_answered,
                                      look_answered,
                                      entries_found,
                                      agent_drain_requested>;

// ---- Commands -------------------------------------------------------------

// Opens a link to the entry at `address`, or a new connection of a link that
// exists.
struct open_link {
  entry_index entry = 0;
  std::string address;
};
struct send_to_entry {
  entry_index entry = 0;
  wire::agent_run_frame frame;
};

// What every order to the worker carries.
struct order_target {
  std::string address;
  std::string worker;
  std::uint64_t fence = 0;
};
struct start_run {
  order_target target;
  run_name name;
  std::string spec;
  milliseconds lease_until{0};  // On the worker's clock.
};
struct stop_run {
  order_target target;
  run_name name;
};
// Asks what runs and what has ended, renews the lease unless `lease_until` is
// 0, and lets the worker forget ends up to `seen`. The worker answers at once,
// or after `wait` when nothing ends before.
struct look_at_worker {
  order_target target;
  std::uint64_t seen = 0;
  milliseconds lease_until{0};
  milliseconds wait{0};
};

// To be kept for the next incarnation of the agent.
struct keep_worker {
  worker_report report;
};

struct supervisor_drained {};

using supervisor_command = std::variant<open_link,
                                        send_to_entry,
                                        start_run,
                                        stop_run,
                                        look_at_worker,
                                        keep_worker,
                                        decision_record,
                                        supervisor_drained>;

// ---- The core -------------------------------------------------------------

struct supervisor_options {
  std::string agent;  // This agent's id.
  incarnation agent_incarnation{};
  std::string failure_domain;
  std::uint64_t first_fence = 1;  // Higher than that of earlier incarnations.
  milliseconds beat_interval{250};
  // Runs of an entry that was not heard for so long are stopped, well before
  // its callers send their jobs to another one.
  milliseconds entry_silence{600};
  // How long the worker's runs outlive this process.
  milliseconds lease{700};
  milliseconds renew_interval{30};         // Many renewals may be lost.
  milliseconds worker_report_bound{5000};  // Three of its reports.
  milliseconds drain_bound{5000};
  std::uint32_t orders_in_flight = 8;  // Each takes a connection to the worker.
  double clock_drift = 0.02;           // Bound on the worker's clock's error.
};

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
};

struct supervisor_gauges {
  std::size_t running = 0;
  std::size_t queued = 0;
  std::size_t entries = 0;
  resources free;
  bool has_worker = false;
};

// Pure: no I/O, no clock, no thread; owned by the control thread.
class run_supervisor {
 public:
  // Errors: errc::kInvalidArgument for options out of range.
  static result<std::unique_ptr<run_supervisor>> Create(
      supervisor_options options);
  virtual ~run_supervisor() = default;

  virtual void Handle(supervisor_event event,
                      monotonic_time now,
                      std::vector<supervisor_command>& commands) = 0;
  virtual monotonic_time Advance(monotonic_time now,
                                 std::vector<supervisor_command>& commands) = 0;

  virtual const supervisor_counters& counters() const = 0;
  virtual supervisor_gauges gauges() const = 0;
};

}  // namespace egretrack::scheduler

#endif  // EGRETRACK_SCHEDULER_RUN_SUPERVISOR_H_
