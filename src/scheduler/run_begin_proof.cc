#include "scheduler/run_begin_proof.h"

#include <array>
#include <cstddef>

namespace egretrack::scheduler {
namespace {

constexpr std::array<std::string_view, 4> kNames = {
    "may_have_begun", "not_sent", "refused", "not_listed"};

// A start call is bound to its connection. Once the call is over, an answer of
// the incarnation that the agent has followed since the first call shows that
// no other incarnation has got it.
bool IsListDecisive(const run_evidence& run) {
  return run.listed && run.listed->complete && !run.listed->other_incarnation &&
         !run.listed->other_worker && !run.restarted_since_start &&
         run.start_resolved_at <= run.listed->polled_at;
}

}  // namespace

std::string_view Name(run_begin_proof proof) {
  return kNames[static_cast<std::size_t>(proof)];
}

run_begin_proof FindRunBeginProof(const run_evidence& run) {
  if (!run.start_sent)
    return run_begin_proof::kNotSent;
  if (run.confirmed_at != monotonic_time::max())
    return run_begin_proof::kMayHaveBegun;
  if (run.unrefused_starts == 0)
    return run_begin_proof::kRefused;
  if (!IsListDecisive(run) || run.listed->ended || run.listed->running)
    return run_begin_proof::kMayHaveBegun;
  const bool ignored =
      run.start_fence < run.listed->fence ||
      run.stop_accepted_at < run.listed->polled_at - kRunStopTime;
  return ignored ? run_begin_proof::kNotListed : run_begin_proof::kMayHaveBegun;
}

}  // namespace egretrack::scheduler
