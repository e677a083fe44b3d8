#ifndef EGRETRACK_SCHEDULER_JOB_SCHEDULER_H_
#define EGRETRACK_SCHEDULER_JOB_SCHEDULER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
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

// The entry's decisions about jobs that are answered when they have ended and
// are not kept: their tasks may run again after a loss, but never twice at the
// same time.
namespace egretrack::scheduler {

using decision::caller_token;
using decision::job_errc;
using decision::link_id;

// ---- Events ---------------------------------------------------------------

// Tasks that are alike. They may start once every task of the steps in `after`
// is done.
struct job_step {
  std::uint32_t count = 1;
  resources need;
  milliseconds estimate{0};          // Rough; 0: unknown.
  std::vector<std::uint32_t> after;  // Numbers of earlier steps.
  std::string required_label;        // Of the worker; empty: any.
  std::string near_label;            // Runs slower elsewhere; empty: none.
  std::uint32_t max_per_worker = 0;  // At the same time; 0: no bound.
};

struct job_submission {
  caller_token caller{};
  std::string host;
  std::string path;  // The prefix of a request kind, then the job's key.
  std::optional<milliseconds> deadline;  // From now.
  std::string spec;                      // Handed to the worker.
  std::vector<job_step> steps;
  // What the job asks for that this scheduler does not offer; empty: nothing.
  std::string unsupported;
};

// Asks for the state of one job or, without a key, for the number of jobs of
// the kind that have not begun.
struct job_inquiry {
  caller_token caller{};
  std::string host;
  std::string path;
};

struct job_cancellation {
  caller_token caller{};
  std::string host;
  std::string path;
};

struct caller_gone {
  caller_token caller{};
};

struct agent_frame {
  link_id link{};
  wire::agent_run_frame frame;
};

struct configuration_received {
  objects::configuration_ptr configuration;
};

// The entries that are known to live, this one included.
struct members_received {
  std::vector<wire::entry_member> members;
};

struct drain_requested {};

using scheduler_event = std::variant<job_submission,
                                     job_inquiry,
                                     job_cancellation,
                                     caller_gone,
                                     agent_frame,
                                     configuration_received,
                                     members_received,
                                     drain_requested>;

// ---- Commands -------------------------------------------------------------

enum class job_state : std::uint8_t {
  kQueued,
  kRunning,
  kCompleted,
  kFailed,
  kCancelled,
  kRefused,         // Has not run and will not.
  kUnknown,         // No such job.
  kOutcomeUnknown,  // Tasks may have run; what does is stopped.
  kAttached,        // Another request for the same job took this one's place.
};

struct answer_job {
  caller_token caller{};
  job_state state = job_state::kRefused;
  job_errc code = job_errc::kNotReady;  // Why, when refused or failed.
  milliseconds retry_after{0};          // For a refused job; 0: none.
};

struct answer_backlog {
  caller_token caller{};
  bool known = false;       // False: there is no such request kind.
  std::size_t waiting = 0;  // Jobs that have not begun.
};

struct send_to_agent {
  link_id link{};
  wire::entry_run_frame frame;
};

// A job ended; for metrics.
struct job_measured {
  std::string kind;
  job_state state = job_state::kCompleted;
  job_errc code = job_errc::kNotReady;
  bool on_time = false;
  microseconds response{0};
  microseconds first_start{0};  // Until the first dispatch.
};

// A draining entry takes no more jobs; idle connections may be closed.
struct close_front {};

// A draining entry has answered its last job.
struct drain_finished {};

using scheduler_command = std::variant<answer_job,
                                       answer_backlog,
                                       send_to_agent,
                                       job_measured,
                                       decision_record,
                                       close_front,
                                       drain_finished>;

// ---- The core -------------------------------------------------------------

struct scheduler_options {
  std::string entry;  // This entry's id.
  incarnation entry_incarnation{};
  std::string failure_domain;
  std::size_t max_jobs = 4096;
  // An agent that was not heard for so long gets no new work: three beats.
  milliseconds agent_silence{800};
  // After the last frame to an agent that fell silent, until its runs have
  // surely ended: its own bound on our silence (600 ms), then the lease that it
  // held at the worker (700 ms), slowed by 2 %, and the time of a stop.
  milliseconds runs_end_bound{1400};
  // Not ready, but accepting: the balancer notices after two looks, a second
  // apart.
  milliseconds drain_grace{2500};
  // After it new jobs are refused, even while callers go on sending: a job
  // takes up to 2.5 s, and the platform ends the process after 6 s.
  milliseconds drain_bound{3000};
  // After it what still runs is cut off and answered.
  milliseconds drain_end{5300};
  milliseconds answer_retention{10000};  // For a job that is sent again.
  double far_factor = 1.5;  // Run time of a task away from its near label.
};

struct scheduler_counters {
  std::uint64_t jobs_accepted = 0;
  std::uint64_t jobs_completed = 0;
  std::uint64_t jobs_failed = 0;
  std::uint64_t jobs_refused = 0;
  std::uint64_t jobs_unknown = 0;  // Cut off while tasks may have run.
  std::uint64_t jobs_cancelled = 0;
  std::uint64_t dispatches = 0;
  std::uint64_t returns = 0;   // Tasks that an agent gave back unstarted.
  std::uint64_t losses = 0;    // Runs that ended without a result.
  std::uint64_t failures = 0;  // Runs that failed at the worker.
  std::uint64_t late_reports = 0;
  std::uint64_t ejections = 0;
};

struct scheduler_gauges {
  std::size_t jobs = 0;
  std::size_t tasks_outstanding = 0;
  std::size_t tasks_waiting = 0;
  std::size_t agents = 0;
  std::size_t agents_usable = 0;
  std::uint64_t config_version = 0;
  std::int64_t free_cpu_milli = 0;
};

// Pure: no I/O, no clock, no thread; owned by the control thread.
class job_scheduler {
 public:
  // Errors: errc::kInvalidArgument for options out of range.
  static result<std::unique_ptr<job_scheduler>> Create(
      scheduler_options options);
  virtual ~job_scheduler() = default;

  virtual void Handle(scheduler_event event,
                      monotonic_time now,
                      std::vector<scheduler_command>& commands) = 0;
  // Does what is due at `now`; returns when it wants to be called again.
  virtual monotonic_time Advance(monotonic_time now,
                                 std::vector<scheduler_command>& commands) = 0;

  virtual const scheduler_counters& counters() const = 0;
  virtual scheduler_gauges gauges() const = 0;
  // True while new callers are welcome.
  virtual bool ready() const = 0;
};

}  // namespace egretrack::scheduler

#endif  // EGRETRACK_SCHEDULER_JOB_SCHEDULER_H_
