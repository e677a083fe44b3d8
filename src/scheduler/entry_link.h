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

// An agent's link to one entry: its connection, and what is known of the
// entry's clock and of when it was last alive.
class entry_link {
 public:
  entry_link(std::string address, monotonic_time now)
      : address_(std::move(address)), connected_at_(now) {}

  // Starts a new connection; frames of earlier ones are stale.
  void Connect(monotonic_time now);

  // Makes the next beat's number and notes when it is sent.
  std::uint64_t NextBeat(monotonic_time now);

  // False for a frame of another connection. `reply` is the answer to a beat
  // that the frame holds, if it does.
  bool Observe(const wire::entry_run_frame& frame,
               const wire::beat_reply* reply);

  // The latest time on our clock at which the entry surely was alive; the time
  // of the connection before any proof.
  monotonic_time alive_at() const;

  // The time on our clock before which the entry's clock is surely below
  // `limit`; monotonic_time::min() when its clock is not known.
  monotonic_time SurelyBefore(monotonic_time limit) const;

  const std::string& address() const { return address_; }
  const std::string& entry() const { return entry_; }
  connection_number connection() const { return connection_; }
  bool heard() const { return clock_.has_value(); }

  monotonic_time next_beat{};
  std::uint64_t dispatches_seen = 0;
  monotonic_time last_dispatch = monotonic_time::min();
  bool closed = false;  // Not among the entries any more.
  std::vector<wire::agent_run_message> outgoing;
  monotonic_time last_sent{};  // Any frame.
  resources last_free;         // What the last frame said of the worker.

 private:
  // One exchange of a beat: the reply was made after `sent` on our clock, at
  // `entry_time` on the entry's.
  struct exchange {
    monotonic_time sent;
    monotonic_time entry_time;
  };
  struct sent_beat {
    std::uint64_t sequence = 0;
    monotonic_time at;
  };

  const std::string address_;
  std::string entry_;
  incarnation incarnation_{};
  connection_number connection_{1};
  monotonic_time connected_at_;
  std::uint64_t last_beat_ = 0;
  std::deque<sent_beat> unanswered_;
  std::optional<exchange> clock_;
  monotonic_time latest_entry_time_{};
};

}  // namespace egretrack::scheduler

#endif  // EGRETRACK_SCHEDULER_ENTRY_LINK_H_
