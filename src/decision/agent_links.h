#ifndef EGRETRACK_DECISION_AGENT_LINKS_H_
#define EGRETRACK_DECISION_AGENT_LINKS_H_

#include <cstdint>
#include <deque>
#include <vector>

#include "decision/agent_entry_clock_bound.h"
#include "decision/agent_lifecycles.h"
#include "egretrack/base/time.h"
#include "egretrack/decision/agent_core.h"
#include "egretrack/wire/messages.h"

namespace egretrack::decision {

// Time and command output of the current call of the core.
struct call_context {
  monotonic_time now;
  std::vector<agent_command>& commands;
};

// The current connection to one entry, and the state kept across reconnects.
class agent_link {
 public:
  explicit agent_link(double clock_drift) : entry_clock_(clock_drift) {}

  // Starts a new connection with the next connection number.
  void StartConnection(monotonic_time now);
  connection_number connection() const { return connection_; }
  bool established() const {
    return lifecycle_.phase() == connection_phase::kEstablished;
  }
  // Time of the entry's last reply, or of the start of the connection.
  monotonic_time last_reply_time() const { return last_reply_time_; }

  // Registers a heartbeat that is sent at `now` and returns its sequence
  // number.
  std::uint64_t NextHeartbeat(monotonic_time now);
  // Returns false for a reply to a heartbeat that was not sent on this
  // connection or is older than one already answered.
  bool AcceptReply(const wire::heartbeat_reply& reply, monotonic_time now);
  const entry_clock_bound& entry_clock() const { return entry_clock_; }

  // Requires a reply to the next heartbeat. As a connection preserves the
  // order, the reply confirms that the entry received everything sent before.
  void ExpectConfirmation() {
    confirmation_sequence_ = last_sent_sequence_ + 1;
  }
  bool confirmed() const {
    return answered_sequence_ >= confirmation_sequence_;
  }

  // Rate limits: each returns true at most once per interval.
  bool AllowConfigurationOffer(monotonic_time now);
  bool AllowRecall(monotonic_time now);

 private:
  struct sent_heartbeat {
    std::uint64_t sequence = 0;
    monotonic_time sent{};
  };

  connection_number connection_{};
  connection_lifecycle lifecycle_;
  entry_clock_bound entry_clock_;
  monotonic_time last_reply_time_{};
  std::uint64_t last_sent_sequence_ = 0;
  std::deque<sent_heartbeat> unanswered_;  // In order of sequence.
  std::uint64_t answered_sequence_ = 0;
  std::uint64_t confirmation_sequence_ = 0;
  monotonic_time next_offer_{};
  monotonic_time next_recall_{};
};

// The links to all entries, indexed by entry_index.
class agent_links {
 public:
  agent_links(std::uint32_t entries, double clock_drift);

  std::uint32_t size() const {
    return static_cast<std::uint32_t>(links_.size());
  }
  agent_link& operator[](entry_index entry) { return links_[entry]; }
  const agent_link& operator[](entry_index entry) const {
    return links_[entry];
  }
  bool AnyEstablished() const;
  bool AllConfirmed() const;

  void Send(call_context& context,
            entry_index entry,
            wire::agent_message message);

 private:
  std::vector<agent_link> links_;
};

}  // namespace egretrack::decision

#endif  // EGRETRACK_DECISION_AGENT_LINKS_H_
