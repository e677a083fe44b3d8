#include "scheduler/run_end_proof.h"

#include <array>
#include <cstddef>

namespace egretrack::scheduler {
namespace {

constexpr std::array<std::string_view, 12> kNames = {
    "none",         "not_sent", "refused",    "listed_ended",
    "not_listed",   "stopped",  "fenced_off", "worker_ended",
    "lease_lapsed", "reported", "settled",    "agent_silent"};

// Two incarnations of a worker share its id, so that a start call may have
// reached the later one.
run_end_proof FindProofOfRestart(const run_evidence& run) {
  return run.at_current_incarnation ? run_end_proof::kWorkerEnded
                                    : run_end_proof::kNone;
}

// While the answer lacks ends, that of the run may be among them, and tells how
// it ended.
run_end_proof FindProofOfAbsence(const run_evidence& run) {
  if (run.listed->running || !run.listed->complete)
    return run_end_proof::kNone;
  const monotonic_time polled_at = run.listed->polled_at;
  if (run.confirmed_at < polled_at)
    return run_end_proof::kNotListed;
  if (!run.stopping)
    return run_end_proof::kNone;
  if (run.stop_accepted_at < polled_at - kRunStopTime)
    return run_end_proof::kStopped;
  return run.start_fence < run.listed->fence ? run_end_proof::kFencedOff
                                             : run_end_proof::kNone;
}

}  // namespace

std::string_view Name(run_end_proof proof) {
  return kNames[static_cast<std::size_t>(proof)];
}

run_end_proof FindRunEndProof(const run_evidence& run, monotonic_time now) {
  if (!run.start_sent)
    return run_end_proof::kNotSent;
  if (run.unrefused_starts == 0)
    return run_end_proof::kRefused;
  if (run.listed) {
    if (run.listed->ended)
      return run_end_proof::kListedEnded;
    if (run.listed->other_worker)
      return run_end_proof::kWorkerEnded;
    const auto proof = run.listed->other_incarnation ? FindProofOfRestart(run)
                                                     : FindProofOfAbsence(run);
    if (proof != run_end_proof::kNone)
      return proof;
  }
  return now > run.lease_end ? run_end_proof::kLeaseLapsed
                             : run_end_proof::kNone;
}

run_end_proof FindRunEndProof(const dispatch_evidence& dispatch,
                              monotonic_time now) {
  if (dispatch.reported)
    return run_end_proof::kReported;
  if (dispatch.earlier_session && dispatch.settled)
    return run_end_proof::kSettled;
  return now >= dispatch.agent_stops_by ? run_end_proof::kAgentSilent
                                        : run_end_proof::kNone;
}

}  // namespace egretrack::scheduler
