#include "decision/agent_entry_clock_bound.h"

#include <cmath>

namespace egretrack::decision {
namespace {

// Each of the two clocks is truncated to whole microseconds.
constexpr microseconds kRoundingError{2};

}  // namespace

void entry_clock_bound::Observe(const wire::heartbeat_reply& reply,
                                monotonic_time sent) {
  const bool same_incarnation = known_ && reply.entry == entry_ &&
                                reply.entry_incarnation == incarnation_;
  // The reply to an older heartbeat gives a weaker bound.
  if (same_incarnation && sent < heartbeat_sent_at_)
    return;
  known_ = true;
  entry_ = reply.entry;
  incarnation_ = reply.entry_incarnation;
  heartbeat_sent_at_ = sent;
  entry_time_ = reply.entry_time;
}

// For every local time t after `sent`, the entry's clock shows at most
// entry_time + (t - sent) * (1 + drift), because the entry made the reply after
// the heartbeat was sent. The function solves this for t.
monotonic_time entry_clock_bound::ToLocalDeadline(const job_id& job,
                                                  monotonic_time limit) const {
  if (!IsHomeOf(job) || limit <= entry_time_ + kRoundingError)
    return monotonic_time::min();
  const auto remaining = limit - entry_time_ - kRoundingError;
  const double elapsed =
      std::floor(static_cast<double>(remaining.count()) / (1 + drift_));
  return heartbeat_sent_at_ +
         microseconds(static_cast<microseconds::rep>(elapsed));
}

bool entry_clock_bound::IsHomeOf(const job_id& job) const {
  return known_ && job.entry == entry_ && job.home == incarnation_;
}

}  // namespace egretrack::decision
