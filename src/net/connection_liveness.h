#ifndef EGRETRACK_NET_CONNECTION_LIVENESS_H_
#define EGRETRACK_NET_CONNECTION_LIVENESS_H_

#include <cstdint>

#include "egretrack/base/time.h"

namespace egretrack::net {

// Decides which connections to one server are presumed dead, without network or
// clock. Fault pattern: all open connections go silent at once, without a
// reset, while new ones work. A connection counts by what was received on it.
class connection_liveness {
 public:
  // A call whose response was due at `due_at`, at the latest if the server held
  // it back, received nothing within its time limit, which ended at `now`.
  void RecordSilence(monotonic_time due_at, monotonic_time now);
  // Something was received from the server on any connection.
  void RecordLife();

  // Whether a connection on which something was received last at `received_at`,
  // such as the answer to its opening, may carry calls.
  bool IsAlive(monotonic_time received_at) const;

 private:
  monotonic_time silent_since_ = monotonic_time::min();
  std::uint32_t unanswered_calls_ = 0;  // Since anything was received.
};

}  // namespace egretrack::net

#endif  // EGRETRACK_NET_CONNECTION_LIVENESS_H_
