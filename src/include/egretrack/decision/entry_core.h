#ifndef EGRETRACK_DECISION_ENTRY_CORE_H_
#define EGRETRACK_DECISION_ENTRY_CORE_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "egretrack/base/ids.h"
#include "egretrack/base/result.h"
#include "egretrack/base/time.h"
#include "egretrack/decision/outcome.h"
#include "egretrack/objects/configuration.h"
#include "egretrack/wire/messages.h"

namespace egretrack::decision {

// Identifies a request that a traffic thread keeps open until it is answered.
enum class caller_token : std::uint64_t {};

// Identifies a link between the entry and an agent in the network layer.
enum class link_id : std::uint64_t {};

// ---- Events ---------------------------------------------------------------

struct submission {
  std::string kind;
  std::string team;
  std::optional<milliseconds> deadline;  // From now; default: the kind's.
  std::vector<std::string> payloads;     // One per task.
};

// Submits or resubmits a job. If `id` is empty, the core generates one and
// emits job_id_assigned before the answer.
struct submit_request {
  caller_token caller{};
  std::optional<job_id> id;
  submission job;
  bool forwarded = false;       // By another entry; not forwarded again.
  std::string idempotency_key;  // Empty if the caller sent none.
};

struct reserve_request {
  caller_token caller{};
  std::uint32_t count = 1;
};

struct job_inquiry {
  caller_token caller{};
  job_id id;
  bool forwarded = false;
};

struct cancel_request {
  caller_token caller{};
  job_id id;
  bool forwarded = false;
};

// The caller closed its connection; the job continues.
struct caller_gone {
  caller_token caller{};
};

// The home entry of a job did not answer a forwarded request, or has restarted
// as another incarnation.
struct home_unreachable {
  caller_token caller{};
  job_id id;
};

struct agent_frame_received {
  link_id link{};
  wire::agent_frame frame;
};

// Result of a bind_key command.
enum class key_binding : std::uint8_t {
  kBound,         // The key is now bound to the job of the command.
  kBoundToOther,  // The key was already bound to `bound_to`.
  kNotBound,      // The table was unreachable and has no row for the key.
  kUnknown,       // The table may have a row for the key.
};

// Reports the result of bind_key for the job `id`.
struct key_bound {
  job_id id;
  key_binding binding = key_binding::kUnknown;
  std::optional<job_id> bound_to;
};

struct configuration_received {
  objects::configuration_ptr configuration;
};

struct drain_entry {};
struct drain_agent {
  caller_token caller{};
  std::string agent;
};
struct status_request {
  caller_token caller{};
};

using entry_event = std::variant<submit_request,
                                 reserve_request,
                                 job_inquiry,
                                 cancel_request,
                                 caller_gone,
                                 home_unreachable,
                                 agent_frame_received,
                                 key_bound,
                                 configuration_received,
                                 drain_entry,
                                 drain_agent,
                                 status_request>;

// ---- Commands -------------------------------------------------------------

struct send_to_agent {
  link_id link{};
  connection_number connection{};
  wire::entry_message message;
};

// Tells a caller that submitted without an id which id its job has. The job may
// still be refused.
struct job_id_assigned {
  caller_token caller{};
  job_id id;
};

// Answers and ends a request. The outcome kPending occurs only for inquiries
// and cancellations.
struct answer_caller {
  caller_token caller{};
  job_answer_ptr answer;
};

struct reserve_answer {
  caller_token caller{};
  std::vector<job_id> ids;
};

// Forwards the caller's request to the home entry of the job. The network layer
// answers the caller or reports home_unreachable.
struct forward_to_home {
  caller_token caller{};
  std::string entry;
  job_id id;
};

// Binds an idempotency key to a job in the table; key_bound reports the result.
struct bind_key {
  std::string key;
  job_id id;
};

struct drain_answer {
  caller_token caller{};
  bool known = false;  // False if there is no such agent.
};

struct agent_status {
  std::string agent;
  std::string endpoint;
  std::string failure_domain;
  std::uint64_t config_version = 0;
  std::uint32_t slots = 0;
  std::uint32_t outstanding = 0;  // Tasks dispatched and not yet reported.
  bool reachable = false;
  bool draining = false;
  bool ejected = false;
};

struct entry_status {
  std::string entry;
  incarnation entry_incarnation{};
  std::uint64_t config_version = 0;
  bool ready = false;
  bool draining = false;
  std::size_t jobs_running = 0;
  std::size_t tasks_queued = 0;
  std::vector<agent_status> agents;
};
struct status_answer {
  caller_token caller{};
  entry_status status;
};

// A job ended; for metrics and the burn report.
struct job_ended {
  std::string desk;
  std::string kind;
  job_outcome outcome = job_outcome::kAnswered;
  std::error_code code;  // As in the answer.
  bool on_time = false;
  microseconds response{0};
  std::size_t task_count = 0;
};

// An agent has a newer configuration than this entry.
struct configuration_offered {
  std::uint64_t version = 0;
  std::string document;
};

// A draining entry has sent every answer and may exit.
struct drain_finished {};

using entry_command = std::variant<send_to_agent,
                                   job_id_assigned,
                                   answer_caller,
                                   reserve_answer,
                                   forward_to_home,
                                   bind_key,
                                   drain_answer,
                                   status_answer,
                                   job_ended,
                                   configuration_offered,
                                   drain_finished>;

// ---- The core -------------------------------------------------------------

enum class routing_policy : std::uint8_t {
  kCredits,
  kRoundRobin,        // Baseline: pushes to each agent in turn.
  kLeastOutstanding,  // Baseline: the less loaded of two random agents.
};

enum class ordering_policy : std::uint8_t {
  // Earliest deadline first, with a queue for each team and a limited share of
  // the slots for long tasks.
  kDeadlineWithClasses,
  kFirstInFirstOut,  // Baseline.
};

struct entry_options {
  std::string entry;  // This entry's id.
  incarnation entry_incarnation{};
  std::vector<std::string> peers;  // Ids of the other entries.
  routing_policy routing = routing_policy::kCredits;
  ordering_policy ordering = ordering_policy::kDeadlineWithClasses;
  bool admission = true;  // Refuse jobs that cannot end by their deadline.
  bool ejection = true;   // Take failing agents out of service.
  std::uint64_t random_seed = 0;
  seconds retention{120};  // Of a job record, after the answer.
  std::size_t max_job_records = 100000;
  std::size_t max_queued_tasks = 100000;
  // Latest start of a task after its dispatch, unless its deadline is earlier.
  milliseconds start_by{2000};
  milliseconds silence_timeout{2000};  // Silent agents get no new tasks.
  milliseconds drain_grace{2000};
  double retry_budget = 0.1;  // Retries for each recent request.
  double long_share = 0.5;    // Of an agent's slots: limit for long tasks.
};

// Cumulative counters since the process start.
struct entry_counters {
  std::uint64_t jobs_submitted = 0;
  std::uint64_t jobs_resubmitted = 0;
  std::uint64_t dispatches = 0;
  std::uint64_t reports = 0;
  std::uint64_t redispatches = 0;
  std::uint64_t late_reports = 0;  // Dropped: match no outstanding dispatch.
  // Dropped: messages of an old connection or before the hello of an agent.
  std::uint64_t stale_frames = 0;
  std::uint64_t queries = 0;
  // Grants, recalls and releases in messages of their own.
  std::uint64_t credit_messages = 0;
  std::uint64_t retries = 0;
  std::uint64_t ejections = 0;
};

// Makes all decisions about the jobs of one entry. Does no I/O, reads no clock
// and starts no thread; used by the control thread only.
class entry_core {
 public:
  // Errors: errc::kInvalidArgument for options out of range.
  static result<std::unique_ptr<entry_core>> Create(entry_options options);
  virtual ~entry_core() = default;

  // Handles one event and appends the commands that follow from it.
  virtual void Handle(entry_event event,
                      monotonic_time now,
                      wall_time wall,
                      std::vector<entry_command>& commands) = 0;

  // Runs the timers that are due at `now`; returns the time of the next call.
  virtual monotonic_time Advance(monotonic_time now,
                                 wall_time wall,
                                 std::vector<entry_command>& commands) = 0;

  virtual const entry_counters& counters() const = 0;
  virtual bool ready() const = 0;
};

}  // namespace egretrack::decision

#endif  // EGRETRACK_DECISION_ENTRY_CORE_H_
