#include "scheduler/entry_link.h"

#include <algorithm>
#include <cstddef>

namespace egretrack::scheduler {
namespace {

// Bound on how much two machines' clocks differ in rate.
constexpr double kDrift = 0.001;
// Beats whose sending time is kept; older ones are answered too late to tell
// anything.
constexpr std::size_t kKeptBeats = 16;

}  // namespace

void entry_link::Connect(monotonic_time now) {
  connection_ = connection_number{static_cast<std::uint64_t>(connection_) + 1};
  connected_at_ = now;
  unanswered_.clear();
  clock_.reset();
  latest_entry_time_ = {};
  dispatches_seen = 0;
  outgoing.clear();
  next_beat = now;
}

std::uint64_t entry_link::NextBeat(monotonic_time now) {
  unanswered_.push_back({++last_beat_, now});
  if (unanswered_.size() > kKeptBeats)
    unanswered_.pop_front();
  return last_beat_;
}

bool entry_link::Observe(const wire::entry_run_frame& frame,
                         const wire::beat_reply* reply) {
  if (frame.connection != connection_)
    return false;
  const bool other =
      frame.entry != entry_ || frame.entry_incarnation != incarnation_;
  if (other) {
    clock_.reset();
    latest_entry_time_ = {};
    entry_ = frame.entry;
    incarnation_ = frame.entry_incarnation;
  }
  if (reply != nullptr) {
    const auto sent = std::find_if(unanswered_.begin(), unanswered_.end(),
                                   [&](const sent_beat& beat) {
                                     return beat.sequence == reply->sequence;
                                   });
    if (sent != unanswered_.end()) {
      clock_ = exchange{sent->at, frame.entry_time};
      unanswered_.erase(unanswered_.begin(), sent + 1);
    }
  }
  latest_entry_time_ = std::max(latest_entry_time_, frame.entry_time);
  return true;
}

// A frame made at entry time D was made at least D - S after the reply made at
// S, which was made after our beat was sent.
monotonic_time entry_link::alive_at() const {
  if (!clock_)
    return connected_at_;
  const auto since = latest_entry_time_ - clock_->entry_time;
  return std::max(connected_at_, clock_->sent + Scale(since, 1 - kDrift));
}

// entry(t) <= S + (t - sent) * (1 + drift) for every t after `sent`. Solved
// for t.
monotonic_time entry_link::SurelyBefore(monotonic_time limit) const {
  if (!clock_ || limit <= clock_->entry_time)
    return monotonic_time::min();
  const auto remaining = limit - clock_->entry_time;
  return clock_->sent + Scale(remaining, 1 / (1 + kDrift));
}

}  // namespace egretrack::scheduler
