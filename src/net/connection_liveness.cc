#include "net/connection_liveness.h"

#include <algorithm>

namespace egretrack::net {
namespace {

// A shorter wait for one response tells a dead connection no better than a busy
// server; two in a row do.
constexpr milliseconds kCertainSilence{250};
constexpr std::uint32_t kCertainCalls = 2;

}  // namespace

// The connection of the call was silent by then, or its response would have
// come, and so may be all others on which nothing was received since.
void connection_liveness::RecordSilence(monotonic_time due_at,
                                        monotonic_time now) {
  ++unanswered_calls_;
  if (now - due_at >= kCertainSilence || unanswered_calls_ >= kCertainCalls)
    silent_since_ = std::max(silent_since_, due_at);
}

void connection_liveness::RecordLife() {
  unanswered_calls_ = 0;
}

// The fault that made one connection silent may have met all that were open. A
// connection that is given up by mistake costs a new one; one that is kept by
// mistake costs a call its time limit, and one after another exceeds any bound.
bool connection_liveness::IsAlive(monotonic_time received_at) const {
  return received_at >= silent_since_;
}

}  // namespace egretrack::net
