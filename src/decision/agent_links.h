#ifndef EGRETRACK_DECISION_AGENT_LINKS_H_
#define EGRETRACK_DECISION_AGENT_LINKS_H_

#include <cstdint>
#include <deque>
#include <vector>

#include "decision/agent_home_clock.h"
#include "decision/agent_life_cycles.h"
#include "egretrack/base/time.h"
#include "egretrack/decision/agent_core.h"
#include "egretrack/wire/messages.h"

namespace egretrack::decision {

// One call of the core: its time, and where its commands go.
struct agent_turn {
  monotonic_time now;
  std::vector<agent_command>& commands;
};

// The connection to one entry.
class agent_link {
 public:
  explicit agent_link(double clock_drift) : clock_(clock_drift) {}

  // Starts a connection with the next number.
  void Open(monotonic_time now);
  connection_number number() const { return number_; }
  bool established() const {
    return cycle_.phase() == connection_phase::kEstablished;
  }
  // When the connection was opened or its entry last answered.
  monotonic_time last_heard() const { return last_heard_; }

  // Sequence of the heartbeat that is sent now.
  std::uint64_t NextHeartbeat(monotonic_time now);
  // False for a reply to a heartbeat that was not sent on this connection or
  // that an answered one followed.
  bool TakeReply(const wire::heartbeat_reply& reply, monotonic_time now);
  const home_clock& clock() const { return clock_; }

  // What was sent until now reached the entry once the next heartbeat is
  // answered, because a connection keeps the order.
  void ExpectConfirmation() { confirming_ = last_sequence_ + 1; }
  bool confirmed() const { return answered_ >= confirming_; }

  // True at most once in an interval.
  bool MayOfferConfiguration(monotonic_time now);
  bool MayRecall(monotonic_time now);

 private:
  struct sent_heartbeat {
    std::uint64_t sequence = 0;
    monotonic_time sent{};
  };

  connection_number number_{};
  connection_life_cycle cycle_;
  home_clock clock_;
  monotonic_time last_heard_{};
  std::uint64_t last_sequence_ = 0;
  std::deque<sent_heartbeat> unanswered_;  // Oldest first.
  std::uint64_t answered_ = 0;
  std::uint64_t confirming_ = 0;
  monotonic_time next_offer_{};
  monotonic_time next_recall_{};
};

// The links to all entries, by their index in the settings.
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

  void Send(agent_turn& turn, entry_index entry, wire::agent_message message);

 private:
  std::vector<agent_link> links_;
};

}  // namespace egretrack::decision

#endif  // EGRETRACK_DECISION_AGENT_LINKS_H_
