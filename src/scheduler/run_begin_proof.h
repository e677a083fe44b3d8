#ifndef EGRETRACK_SCHEDULER_RUN_BEGIN_PROOF_H_
#define EGRETRACK_SCHEDULER_RUN_BEGIN_PROOF_H_

#include <cstdint>
#include <string_view>

#include "scheduler/run_end_proof.h"

// Decides whether a run has certainly never begun, so that a caller may be told
// that its job has not run. That the run has ended does not show it: a new
// incarnation of a worker ignores a start call of which only the earlier one
// knew whether it took effect. docs/design.md lists the places that ask.
namespace egretrack::scheduler {

enum class run_begin_proof : std::uint8_t {
  kMayHaveBegun,
  kNotSent,  // No start call was sent.
  kRefused,  // The worker refused every start call.
  // The only incarnation that the start calls can have reached ignores them
  // from now on and lists neither the run nor its end.
  kNotListed,
};

// Name in the event log, for example "not_sent".
std::string_view Name(run_begin_proof proof);

run_begin_proof FindRunBeginProof(const run_evidence& run);

}  // namespace egretrack::scheduler

#endif  // EGRETRACK_SCHEDULER_RUN_BEGIN_PROOF_H_
