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

// Names a request that a traffic thread holds open until it is answered.
enum class caller_token : std::uint64_t {};

// Names the peer of a link between entry and agent, as the network layer
// knows it.
enum class link_id : std::uint64_t {};

// ---- Events ---------------------------------------------------------------

struct submission {
  std::string kind;
  std::string team;
  std::optional<milliseconds> deadline;  // From now; the kind's when absent.
  std::vector<std::string> payloads;     // One per task.
};

// Submits or resubmits a job. Without an id the core makes one and reports it
// with job_id_assigned before the answer.
struct submit_request {
  caller_token caller{};
  std::optional<job_id> id;
  submission job;
  bool forwarded = false;       // Came from another entry; not forwarded again.
  std::string idempotency_key;  // Empty: none.
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

// The caller closed its connection; the job goes on.
struct caller_gone {
  caller_token caller{};
};

// The home named by an id did not answer a forwarded request, or answered that
// it is another incarnation.
struct home_unreachable {
  caller_token caller{};
  job_id id;
};

struct agent_frame_received {
  link_id link{};
  wire::agent_frame frame;
};

// Outcome of bind_key.
enum class key_binding : std::uint8_t {
  kBound,         // The key now names our job id.
  kBoundToOther,  // The key already names `bound_to`.
  kNotBound,      // The table was not reached, and no row can exist.
  kUnknown,       // The write may have taken effect, or a row may exist.
};
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

// Tells a caller without an id which id its job got.
struct job_id_assigned {
  caller_token caller{};
  job_id id;
};

// Ends a request. kPending answers inquiries and cancellations only.
struct answer_caller {
  caller_token caller{};
  job_answer_ptr answer;
};

struct reserve_answer {
  caller_token caller{};
  std::vector<job_id> ids;
};

// Passes the request that `caller` made on to the home entry of the job; the
// network layer answers the caller, or reports home_unreachable.
struct forward_to_home {
  caller_token caller{};
  std::string entry;
  job_id id;
};

struct bind_key {
  std::string key;
  job_id id;
};

struct drain_answer {
  caller_token caller{};
  bool known = false;  // False: there is no such agent.
};

struct agent_status {
  std::string agent;
  std::string endpoint;
  std::string failure_domain;
  std::uint64_t config_version = 0;
  std::uint32_t slots = 0;
  std::uint32_t outstanding = 0;  // Tasks sent and not yet answered.
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

// An agent holds a configuration that is newer than ours.
struct configuration_offered {
  std::uint64_t version = 0;
  std::string document;
};

// A draining entry has given every answer and may exit.
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
  kRoundRobin,        // Baseline: push in turn.
  kLeastOutstanding,  // Baseline: the less loaded of two random agents.
};

enum class ordering_policy : std::uint8_t {
  kDeadlineWithClasses,
  kFirstInFirstOut,  // Baseline.
};

struct entry_options {
  std::string entry;  // This entry's id.
  incarnation entry_incarnation{};
  std::vector<std::string> peers;  // Ids of the other entries.
  routing_policy routing = routing_policy::kCredits;
  ordering_policy ordering = ordering_policy::kDeadlineWithClasses;
  bool admission = true;  // Refuse what cannot end by its deadline.
  bool ejection = true;   // Take failing agents out of service.
  std::uint64_t random_seed = 0;
  seconds retention{120};  // Job records, after the answer.
  std::size_t max_job_records = 100000;
  std::size_t max_queued_tasks = 100000;
  milliseconds start_by{2000};         // After a dispatch, or its deadline.
  milliseconds silence_timeout{2000};  // Credits of a silent agent stay unused.
  milliseconds drain_grace{2000};
  double retry_budget = 0.1;  // Retries per recent request.
  double long_share = 0.5;    // Of an agent's slots, at most, to long work.
};

// Counters since the start; all only rise.
struct entry_counters {
  std::uint64_t jobs_submitted = 0;
  std::uint64_t jobs_resubmitted = 0;
  std::uint64_t dispatches = 0;
  std::uint64_t reports = 0;
  std::uint64_t redispatches = 0;
  std::uint64_t late_reports = 0;  // Dropped: late, crossed or foreign.
  std::uint64_t stale_frames = 0;  // Of an older connection or no agent.
  std::uint64_t queries = 0;
  std::uint64_t credit_messages =
      0;  // Grants, recalls and releases sent alone.
  std::uint64_t retries = 0;
  std::uint64_t ejections = 0;
};

// Decides everything about jobs at one entry. Pure: no I/O, no clock, no
// thread; owned by the control thread.
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

  // Does what is due at `now`; returns when it wants to be called again.
  virtual monotonic_time Advance(monotonic_time now,
                                 wall_time wall,
                                 std::vector<entry_command>& commands) = 0;

  virtual const entry_counters& counters() const = 0;
  virtual bool ready() const = 0;
};

}  // namespace egretrack::decision

#endif  // EGRETRACK_DECISION_ENTRY_CORE_H_
