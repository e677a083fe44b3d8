#ifndef EGRETRACK_SCHEDULER_RUN_END_PROOF_H_
#define EGRETRACK_SCHEDULER_RUN_END_PROOF_H_

#include <cstdint>
#include <optional>
#include <string_view>

#include "egretrack/base/time.h"

// Decides whether a run has certainly ended, so that its task may start
// elsewhere. docs/design.md lists the places that ask.
namespace egretrack::scheduler {

enum class run_end_proof : std::uint8_t {
  kNone,         // The run may go on: it has to be stopped and waited for.
  kNotSent,      // No start call has reached a worker.
  kRefused,      // The worker refused every start call.
  kListedEnded,  // The worker lists the end.
  kNotListed,    // The worker had confirmed the run and no longer lists it.
  kStopped,      // The worker accepted a stop and no longer lists the run.
  kFencedOff,    // The worker ignores the start call and does not list the run.
  kWorkerEnded,  // Another worker, or another incarnation of it, has its
                 // address.
  kLeaseLapsed,
  kReported,     // At an entry: the agent reported the end.
  kSettled,      // At an entry: the agent has no run of an earlier session.
  kAgentSilent,  // At an entry: the agent has stopped the run by now.
};

// Name in the event log, for example "lease_lapsed".
std::string_view Name(run_end_proof proof);

// The worker ends a stopped run within 50 ms and then lists it as ended.
inline constexpr milliseconds kRunStopTime{60};

// The answer of a worker to a poll, as far as it concerns one run.
struct listed_run {
  monotonic_time polled_at{};  // When the poll was sent.
  std::uint64_t fence = 0;     // Token of the poll.
  // Another incarnation of the worker answers than the one that the agent
  // follows.
  bool other_incarnation = false;
  // A worker of another id answers. It refuses calls for the earlier one.
  bool other_worker = false;
  bool ended = false;
  bool running = false;
  // The answer holds all ends that the worker keeps, not just the first ones.
  bool complete = false;
};

// What an agent knows about a run. Unset times are in the future.
struct run_evidence {
  bool start_sent = false;
  // Start calls under any number of the run that the worker has not refused.
  std::uint32_t unrefused_starts = 0;
  // The worker was found to have started again after one of these calls.
  bool restarted_since_start = false;
  std::uint64_t start_fence = 0;
  // When the last start call was answered or given up.
  monotonic_time start_resolved_at = monotonic_time::max();
  bool stopping = false;
  monotonic_time confirmed_at = monotonic_time::max();
  monotonic_time stop_accepted_at = monotonic_time::max();
  // The run is known to be at the worker incarnation that the agent follows.
  bool at_current_incarnation = false;
  std::optional<listed_run> listed;
  monotonic_time lease_end = monotonic_time::max();
};

// What an entry knows about a task that it dispatched.
struct dispatch_evidence {
  // The agent reports the end to this process, in the session of the dispatch.
  bool reported = false;
  // The agent has begun a new session since.
  bool earlier_session = false;
  // The agent says that all runs of earlier sessions have ended.
  bool settled = false;
  // Time by which an agent that hears nothing from this process has stopped the
  // run.
  monotonic_time agent_stops_by = monotonic_time::max();
};

run_end_proof FindRunEndProof(const run_evidence& run, monotonic_time now);
run_end_proof FindRunEndProof(const dispatch_evidence& dispatch,
                              monotonic_time now);

}  // namespace egretrack::scheduler

#endif  // EGRETRACK_SCHEDULER_RUN_END_PROOF_H_
