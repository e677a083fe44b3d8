#include "decision/agent_home_clock.h"

#include <cmath>

namespace egretrack::decision {
namespace {

// Both clocks are cut to whole microseconds.
constexpr microseconds kRounding{2};

}  // namespace

void home_clock::Observe(const wire::heartbeat_reply& reply,
                         monotonic_time sent) {
  const bool same = known_ && reply.entry == entry_ &&
                    reply.entry_incarnation == incarnation_;
  // The answer to an older heartbeat tells less than what is known.
  if (same && sent < sent_)
    return;
  known_ = true;
  entry_ = reply.entry;
  incarnation_ = reply.entry_incarnation;
  sent_ = sent;
  entry_time_ = reply.entry_time;
}

// home(t) <= entry_time + (t - sent) * (1 + drift) for every t after `sent`,
// because the reply was made after the heartbeat was sent. Solved for t.
monotonic_time home_clock::SurelyBefore(const job_id& job,
                                        monotonic_time limit) const {
  if (!IsHomeOf(job) || limit <= entry_time_ + kRounding)
    return monotonic_time::min();
  const auto remaining = limit - entry_time_ - kRounding;
  const double elapsed =
      std::floor(static_cast<double>(remaining.count()) / (1 + drift_));
  return sent_ + microseconds(static_cast<microseconds::rep>(elapsed));
}

bool home_clock::IsHomeOf(const job_id& job) const {
  return known_ && job.entry == entry_ && job.home == incarnation_;
}

}  // namespace egretrack::decision
