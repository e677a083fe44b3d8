#include "net/connection_liveness.h"

#include <algorithm>

namespace egretrack::net {

// The connection of the call was silent by then, or its response would have
// come, and so may be all others on which nothing was received since.
void connection_liveness::RecordSilence(monotonic_time due_at) {
  silent_since_ = std::max(silent_since_, due_at);
}

// The fault that made one connection silent may have met all that were open. A
// connection that is given up by mistake costs a new one; one that is kept by
// mistake costs a call its time limit, and one after another exceeds any bound.
bool connection_liveness::IsAlive(monotonic_time received_at) const {
  return received_at >= silent_since_;
}

}  // namespace egretrack::net
