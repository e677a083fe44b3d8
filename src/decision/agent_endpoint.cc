#include "decision/agent_endpoint.h"

#include <utility>

namespace egretrack::decision {

bool agent_endpoint::Announce(endpoint_announced announcement,
                              monotonic_time now) {
  const bool changed = name() != announcement.endpoint;
  announcement_ = std::move(announcement);
  expiry_ = now + lease_;
  return changed;
}

bool agent_endpoint::Withdraw() {
  const bool changed = present();
  announcement_.reset();
  return changed;
}

bool agent_endpoint::Expire(monotonic_time now) {
  return now >= expiry() && Withdraw();
}

const std::string& agent_endpoint::name() const {
  static const std::string kNone;
  return present() ? announcement_->endpoint : kNone;
}

monotonic_time agent_endpoint::expiry() const {
  return present() ? expiry_ : monotonic_time::max();
}

}  // namespace egretrack::decision
