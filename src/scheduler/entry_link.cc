#include "scheduler/entry_link.h"

#include <algorithm>
#include <cstddef>

namespace egretrack::scheduler {
namespace {

// Bound on the relative rate difference between two machines' clocks.
constexpr double kMaxClockDrift = 0.001;
// Number of unanswered heartbeats whose send time is kept. Replies to older
// ones arrive too late to be useful.
constexpr std::size_t kMaxTrackedHeartbeats = 16;
constexpr std::uint32_t kMaxUnansweredConnections = 2;

}  // namespace

void entry_link::Connect(monotonic_time now) {
  connection_ = connection_number{static_cast<std::uint64_t>(connection_) + 1};
  connected_at_ = now;
  incarnation_.reset();
  unanswered_heartbeats_.clear();
  last_exchange_.reset();
  latest_entry_time_ = {};
  dispatches_seen = 0;
  evacuations_hash.reset();
  outgoing.clear();
  heartbeat_requested = true;
}

void entry_link::RecordUnansweredConnection() {
  ++unanswered_connections_;
}

bool entry_link::responsive() const {
  return unanswered_connections_ < kMaxUnansweredConnections;
}

std::uint64_t entry_link::NextHeartbeat(monotonic_time now) {
  unanswered_heartbeats_.push_back({++last_sequence_, now});
  if (unanswered_heartbeats_.size() > kMaxTrackedHeartbeats)
    unanswered_heartbeats_.pop_front();
  return last_sequence_;
}

frame_origin entry_link::Observe(const wire::entry_run_frame& frame,
                                 const wire::beat_reply* reply) {
  if (frame.connection != connection_)
    return frame_origin::kOldConnection;
  // A restarted process learns the connection number from the agent's frames,
  // as the transport reconnects on its own.
  if (incarnation_ &&
      (frame.entry != entry_ || frame.entry_incarnation != *incarnation_)) {
    return frame_origin::kOtherProcess;
  }
  entry_ = frame.entry;
  incarnation_ = frame.entry_incarnation;
  if (reply != nullptr) {
    const auto sent = std::find_if(
        unanswered_heartbeats_.begin(), unanswered_heartbeats_.end(),
        [&](const sent_heartbeat& heartbeat) {
          return heartbeat.sequence == reply->sequence;
        });
    if (sent != unanswered_heartbeats_.end()) {
      last_exchange_ = heartbeat_exchange{sent->at, frame.entry_time};
      unanswered_connections_ = 0;
      unanswered_heartbeats_.erase(unanswered_heartbeats_.begin(), sent + 1);
    }
  }
  latest_entry_time_ = std::max(latest_entry_time_, frame.entry_time);
  return frame_origin::kCurrent;
}

// By the entry's clock, a frame made at time D was made D - S after the reply
// made at time S. That reply was made after the heartbeat was sent.
monotonic_time entry_link::last_known_alive() const {
  if (!last_exchange_)
    return connected_at_;
  const auto since = latest_entry_time_ - last_exchange_->entry_time;
  return std::max(connected_at_,
                  last_exchange_->sent + Scale(since, 1 - kMaxClockDrift));
}

// For every local time t after `sent`, the entry's clock shows at most
// S + (t - sent) * (1 + drift), where S is the entry time of the reply. The
// function solves this for t.
monotonic_time entry_link::ToLocalDeadline(
    monotonic_time entry_deadline) const {
  if (!last_exchange_ || entry_deadline <= last_exchange_->entry_time)
    return monotonic_time::min();
  const auto remaining = entry_deadline - last_exchange_->entry_time;
  return last_exchange_->sent + Scale(remaining, 1 / (1 + kMaxClockDrift));
}

}  // namespace egretrack::scheduler
