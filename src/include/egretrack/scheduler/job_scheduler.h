#ifndef EGRETRACK_SCHEDULER_JOB_SCHEDULER_H_
#define EGRETRACK_SCHEDULER_JOB_SCHEDULER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "egretrack/base/ids.h"
#include "egretrack/base/resources.h"
#include "egretrack/base/result.h"
#include "egretrack/base/time.h"
#include "egretrack/decision/entry_core.h"
#include "egretrack/decision/outcome.h"
#include "egretrack/objects/configuration.h"
#include "egretrack/scheduler/decision_record.h"
#include "egretrack/wire/run_messages.h"

// Decision core of an entry for jobs that are not stored: the caller waits for
// the answer, and the entry forgets the job soon after it. A task whose run was
// lost is dispatched again, but two runs of a task never overlap.
namespace egretrack::scheduler {

using decision::caller_token;
using decision::job_errc;
using decision::link_id;

// ---- Events ---------------------------------------------------------------

// A group of identical tasks. They may start once every task of the steps in
// `after` is done.
struct job_step {
  std::uint32_t count = 1;
  resources need;
  milliseconds estimate{0};          // Of the run time; 0: unknown.
  std::vector<std::uint32_t> after;  // Indexes of earlier steps.
  std::string required_label;        // Of the worker; empty: any.
  // Tasks run slower on a worker without this label; empty: no preference.
  std::string affinity_label;
  std::uint32_t max_per_worker = 0;  // Concurrent tasks; 0: no limit.
};

struct job_submission {
  caller_token caller{};
  // When the caller's connection was last known to be open.
  monotonic_time caller_seen_at{};
  // The caller has certainly sent the request after this time: since then the
  // connection is open and has no earlier request without an answer.
  monotonic_time sent_after{};
  std::string host;
  std::string path;  // Path prefix of a request kind, then the job key.
  std::optional<milliseconds> deadline;  // Relative to the arrival.
  std::string spec;                      // Opaque; passed to the worker.
  std::vector<job_step> steps;
  // A requested feature that this scheduler does not support; empty: none.
  std::string unsupported_feature;
};

// Asks for the state of one job. Without a job key in the path, asks for the
// number of jobs of the request kind that have no dispatched task yet.
struct job_inquiry {
  caller_token caller{};
  std::string host;
  std::string path;
};

struct job_cancellation {
  caller_token caller{};
  std::string host;
  std::string path;
  // Another entry that does not have the job sent it on.
  bool forwarded = false;
};

struct caller_disconnected {
  caller_token caller{};
};

// Answers check_caller: the caller's connection was open at `seen_at`.
struct caller_seen {
  caller_token caller{};
  monotonic_time seen_at{};
};

struct agent_frame {
  link_id link{};
  wire::agent_run_frame frame;
};

struct configuration_received {
  objects::configuration_ptr configuration;
};

// The registered entries, including this one.
struct members_received {
  std::vector<wire::entry_member> members;
};

struct drain_requested {};

// What the store says of evacuated failure domains: changed rows, or with
// `snapshot_version` all rows of the table at that version of the store.
struct evacuations_received {
  std::vector<wire::domain_evacuation> values;
  std::optional<std::uint64_t> snapshot_version;
  // Domains whose row cannot be decoded. What is known of them stays.
  std::vector<std::string> unreadable;
};

using scheduler_event = std::variant<job_submission,
                                     job_inquiry,
                                     job_cancellation,
                                     caller_disconnected,
                                     caller_seen,
                                     agent_frame,
                                     configuration_received,
                                     members_received,
                                     drain_requested,
                                     evacuations_received>;

// ---- Commands -------------------------------------------------------------

enum class job_state : std::uint8_t {
  kQueued,
  kRunning,
  kCompleted,
  kFailed,
  kCancelled,
  kRefused,         // No task has run or will run.
  kUnknown,         // No such job.
  kOutcomeUnknown,  // Tasks may have run; running ones are stopped.
  kSuperseded,      // A later request for the same job gets the answer.
};

struct answer_job {
  caller_token caller{};
  job_state state = job_state::kRefused;
  job_errc code = job_errc::kNotReady;  // Reason of a refusal or failure.
  milliseconds retry_after{0};          // Of a refused job; 0: none.
};

struct answer_backlog {
  caller_token caller{};
  bool kind_known = false;  // Whether the request kind is configured.
  std::size_t waiting = 0;  // Jobs without a dispatched task.
};

// Sends a cancellation to the other entries, one of which may have the job:
// callers' connections move between entries. The caller waits for their
// answers.
struct cancel_at_peers {
  caller_token caller{};
  std::string host;
  std::string path;
};

// Looks whether the caller's connection is still open, and answers with
// caller_seen or caller_disconnected. Until then no task of its job starts.
struct check_caller {
  caller_token caller{};
};

struct send_to_agent {
  link_id link{};
  wire::entry_run_frame frame;
};

// Reports an ended job to the metrics.
struct job_metrics {
  std::string kind;
  job_state state = job_state::kCompleted;
  job_errc code = job_errc::kNotReady;
  bool on_time = false;
  microseconds response_time{0};
  microseconds first_dispatch_delay{0};  // From acceptance.
};

// The draining entry accepts no more jobs, so the process stops listening for
// callers and closes idle connections.
struct close_front {};

// A draining entry has answered its last job.
struct drain_finished {};

// Reports a refused job to the metrics.
struct refusal_metrics {
  std::string kind;  // Empty if unknown.
  job_errc code = job_errc::kNotReady;
  milliseconds retry_after{0};  // 0: none.
};

using scheduler_command = std::variant<answer_job,
                                       answer_backlog,
                                       cancel_at_peers,
                                       check_caller,
                                       send_to_agent,
                                       job_metrics,
                                       decision_record,
                                       close_front,
                                       drain_finished,
                                       refusal_metrics>;

// ---- The core -------------------------------------------------------------

struct scheduler_options {
  std::string entry;  // This entry's id.
  incarnation entry_incarnation{};
  std::string failure_domain;
  std::size_t max_jobs = 4096;
  // An agent with runs of this entry that sends no frame for this time, three
  // heartbeat intervals, is silent and gets no new tasks.
  milliseconds agent_silence{800};
  // The same for an agent without runs of this entry.
  milliseconds idle_agent_silence{2600};
  // Time after the last frame to a silent agent by which all its runs have
  // ended; at least LongestUnattendedRun() of the agent.
  milliseconds lost_run_timeout{1400};
  // A draining entry reports that it is not ready, but accepts jobs for this
  // time: the load balancer notices after two probes, one second apart.
  milliseconds drain_grace{2500};
  // Time after which a draining entry refuses new jobs even if callers keep
  // sending: a job takes up to 2.5 s, and the platform kills the process 6 s
  // after the stop signal.
  milliseconds drain_bound{3000};
  // Time after which a draining entry stops and answers unfinished jobs.
  milliseconds drain_end{5300};
  milliseconds answer_retention{10000};  // For jobs that are resubmitted.
  // A task is dispatched only if its caller was seen within this time: one that
  // has left sends its job to another entry after a while.
  milliseconds max_caller_age{300};
  // Time after which a caller without an answer sends a job to another entry.
  milliseconds resubmit_after{1300};
  // The longest round trip to a caller. A request that may have been delayed
  // for `resubmit_after` is handled after this time, by when the end of its
  // connection has arrived if the caller has left.
  milliseconds max_caller_round_trip{250};
  // First guess of the run time factor on a worker without the task's affinity
  // label; at least 1.
  double far_run_time_factor = 1.5;
  // Memory of all live jobs; more of them are refused.
  std::size_t max_job_bytes = 64U << 20U;
};

struct scheduler_counters {
  std::uint64_t jobs_accepted = 0;
  std::uint64_t jobs_completed = 0;
  std::uint64_t jobs_failed = 0;
  std::uint64_t jobs_refused = 0;
  std::uint64_t jobs_unknown = 0;  // Outcome unknown: tasks may have run.
  std::uint64_t jobs_cancelled = 0;
  std::uint64_t dispatches = 0;
  std::uint64_t tasks_returned = 0;  // By an agent, without a run.
  std::uint64_t tasks_lost = 0;      // Runs that ended without a result.
  std::uint64_t tasks_failed = 0;    // Runs that failed at the worker.
  std::uint64_t late_reports = 0;
  std::uint64_t ejections = 0;
  // Of tasks_returned: because the agent's failure domain is evacuated.
  std::uint64_t tasks_evacuated = 0;
  // Refused because of the limit of jobs or of their memory.
  std::uint64_t jobs_over_limit = 0;
  std::uint64_t caller_checks = 0;  // Connections looked at before a dispatch.
  // Submissions that may have been delayed, and those of them whose caller had
  // left.
  std::uint64_t delayed_submissions = 0;
  std::uint64_t delayed_submissions_dropped = 0;
};

// Tasks of one request kind that have an affinity label.
struct locality_counters {
  std::uint64_t near_dispatches = 0;
  std::uint64_t near_waits = 0;  // Of the near dispatches, to a full worker.
  std::uint64_t far_dispatches = 0;
  std::uint64_t near_returns = 0;  // From the queue of a near worker.
  std::uint64_t near_runs = 0;     // That ended with a result.
  std::uint64_t far_runs = 0;
  // Time by which waits ended tasks earlier than far starts, by the
  // predictions at the dispatch and as measured. A wait that ended without a
  // run is a measured loss.
  microseconds predicted_gain{0};
  microseconds measured_gain{0};
};
using locality_counters_by_kind =
    std::map<std::string, locality_counters, std::less<>>;

struct scheduler_gauges {
  std::size_t jobs = 0;
  std::size_t tasks_outstanding = 0;
  std::size_t tasks_waiting = 0;
  std::size_t agents = 0;
  std::size_t agents_usable = 0;
  std::uint64_t config_version = 0;
  std::int64_t free_cpu_milli = 0;
  std::size_t evacuated_domains = 0;
  std::size_t job_bytes = 0;  // Memory of the live jobs.
};

// Does no I/O and has no clock or thread of its own; owned by the control
// thread.
class job_scheduler {
 public:
  // Errors: errc::kInvalidArgument for options out of range.
  static result<std::unique_ptr<job_scheduler>> Create(
      scheduler_options options);
  virtual ~job_scheduler() = default;

  virtual void Handle(scheduler_event event,
                      monotonic_time now,
                      std::vector<scheduler_command>& commands) = 0;
  // Does the work that is due at `now`; returns the time of the next call.
  virtual monotonic_time Advance(monotonic_time now,
                                 std::vector<scheduler_command>& commands) = 0;

  virtual const scheduler_counters& counters() const = 0;
  virtual scheduler_gauges gauges() const = 0;
  // Known evacuations and ended evacuations, ordered by domain.
  virtual std::span<const wire::domain_evacuation> evacuations() const = 0;
  virtual const locality_counters_by_kind& locality() const = 0;
  // True while the entry can serve new callers.
  virtual bool ready() const = 0;
};

}  // namespace egretrack::scheduler

#endif  // EGRETRACK_SCHEDULER_JOB_SCHEDULER_H_
