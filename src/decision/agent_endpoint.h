#ifndef EGRETRACK_DECISION_AGENT_ENDPOINT_H_
#define EGRETRACK_DECISION_AGENT_ENDPOINT_H_

#include <optional>
#include <string>

#include "egretrack/base/time.h"
#include "egretrack/decision/agent_core.h"

namespace egretrack::decision {

// The announced endpoint on the agent's worker. An announcement expires after
// the lease. Announce, Withdraw and Expire return true when the endpoint name
// that entries see has changed.
class agent_endpoint {
 public:
  explicit agent_endpoint(milliseconds lease) : lease_(lease) {}

  bool Announce(endpoint_announced announcement, monotonic_time now);
  bool Withdraw();
  bool Expire(monotonic_time now);

  bool present() const { return announcement_.has_value(); }
  // Empty while no endpoint is present.
  const std::string& name() const;
  // Requires present().
  const endpoint_announced& announcement() const { return *announcement_; }
  // monotonic_time::max() while no endpoint is present.
  monotonic_time expiry() const;

 private:
  const milliseconds lease_;
  std::optional<endpoint_announced> announcement_;
  monotonic_time expiry_{};
};

}  // namespace egretrack::decision

#endif  // EGRETRACK_DECISION_AGENT_ENDPOINT_H_
