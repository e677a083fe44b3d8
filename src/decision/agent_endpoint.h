#ifndef EGRETRACK_DECISION_AGENT_ENDPOINT_H_
#define EGRETRACK_DECISION_AGENT_ENDPOINT_H_

#include <optional>
#include <string>

#include "egretrack/base/time.h"
#include "egretrack/decision/agent_core.h"

namespace egretrack::decision {

// The endpoint beside the agent, as long as its announcement holds. Each
// function returns true when what entries are told of it changed.
class agent_endpoint {
 public:
  explicit agent_endpoint(milliseconds lease) : lease_(lease) {}

  bool Announce(endpoint_announced announcement, monotonic_time now);
  bool Withdraw();
  bool Expire(monotonic_time now);

  bool present() const { return announced_.has_value(); }
  // Empty while there is none.
  const std::string& name() const;
  // Only while present.
  const endpoint_announced& announced() const { return *announced_; }
  // monotonic_time::max() while there is none.
  monotonic_time expiry() const;

 private:
  const milliseconds lease_;
  std::optional<endpoint_announced> announced_;
  monotonic_time expiry_{};
};

}  // namespace egretrack::decision

#endif  // EGRETRACK_DECISION_AGENT_ENDPOINT_H_
