#ifndef EGRETRACK_SCHEDULER_ENTRY_LINK_H_
#define EGRETRACK_SCHEDULER_ENTRY_LINK_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "egretrack/base/ids.h"
#include "egretrack/base/time.h"
#include "egretrack/wire/run_messages.h"

namespace egretrack::scheduler {

enum class link_state : std::uint8_t {
  kClosed,
  kOpen,
  // Heartbeats tell the entry to send no more tasks; the link closes when the
  // entry has no runs left.
  kLeaving,
};

// What a frame from an entry says about the link that it arrived on.
enum class frame_origin : std::uint8_t {
  kCurrent,  // The entry process of the current connection.
  kOldConnection,
  // Another entry process than the one that answered on this connection before:
  // the entry has restarted.
  kOtherProcess,
};

// An agent's link to one entry: the current connection, an estimate of the
// entry's clock, and the last time at which the entry is known to have been
// alive. A connection belongs to the entry process that first answers on it.
class entry_link {
 public:
  entry_link(std::string address, monotonic_time now)
      : address_(std::move(address)), connected_at_(now) {}

  // Starts a new connection. Frames of earlier connections become stale.
  void Connect(monotonic_time now);

  // Counts a connection on which the entry did not respond.
  void RecordUnansweredConnection();
  // False if the entry has not responded on the last two connections.
  bool responsive() const;

  // Returns the sequence number of the next heartbeat and records `now` as its
  // send time.
  std::uint64_t NextHeartbeat(monotonic_time now);

  // Applies a frame of the current process and ignores any other. `reply` is
  // the heartbeat reply in the frame, or nullptr.
  frame_origin Observe(const wire::entry_run_frame& frame,
                       const wire::beat_reply* reply);

  // The latest local time at which the entry is known to have been alive.
  // Before the first reply, the time at which the connection was started.
  monotonic_time last_known_alive() const;

  // The latest local time at which the entry's clock cannot have passed
  // `entry_deadline`. Returns monotonic_time::min() when the entry's clock is
  // unknown or had reached the deadline at the last reply.
  monotonic_time ToLocalDeadline(monotonic_time entry_deadline) const;

  const std::string& address() const { return address_; }
  const std::string& entry() const { return entry_; }
  connection_number connection() const { return connection_; }
  // The process that has answered on this connection, if any.
  const std::optional<incarnation>& entry_incarnation() const {
    return incarnation_;
  }
  // True once the entry has answered a heartbeat on this connection.
  bool responded() const { return last_exchange_.has_value(); }

  link_state state = link_state::kClosed;
  monotonic_time leaving_since{};  // In state kLeaving.
  std::uint64_t weight = 0;  // Rendezvous weight of the entry for the agent.
  bool listed = true;        // In the last list of entries.
  bool heartbeat_requested = false;
  monotonic_time last_heartbeat{};
  bool reported_settled = false;  // In the last heartbeat.
  std::uint64_t dispatches_seen = 0;
  monotonic_time last_dispatch = monotonic_time::min();
  std::vector<wire::agent_run_message> outgoing;
  // Of the evacuations known to the entry, by its last message on this
  // connection.
  std::optional<std::uint64_t> evacuations_hash;
  monotonic_time last_sent{};    // Time of the last frame of any kind.
  resources last_reported_free;  // Free resources in the last frame.

 private:
  // A heartbeat and its reply. The entry made the reply at `entry_time` by its
  // own clock, some time after `sent` by the local clock.
  struct heartbeat_exchange {
    monotonic_time sent;
    monotonic_time entry_time;
  };
  struct sent_heartbeat {
    std::uint64_t sequence = 0;
    monotonic_time at;
  };

  const std::string address_;
  std::string entry_;
  std::optional<incarnation> incarnation_;
  connection_number connection_{1};
  monotonic_time connected_at_;
  std::uint64_t last_sequence_ = 0;
  std::uint32_t unanswered_connections_ = 0;  // Consecutive.
  std::deque<sent_heartbeat> unanswered_heartbeats_;
  std::optional<heartbeat_exchange> last_exchange_;
  monotonic_time latest_entry_time_{};
};

}  // namespace egretrack::scheduler

#endif  // EGRETRACK_SCHEDULER_ENTRY_LINK_H_
