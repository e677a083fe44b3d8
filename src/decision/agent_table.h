#ifndef EGRETRACK_DECISION_AGENT_TABLE_H_
#define EGRETRACK_DECISION_AGENT_TABLE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "decision/entry_agent.h"
#include "egretrack/wire/messages.h"

namespace egretrack::decision {

// Effect of a hello on the record of the agent that sent it.
enum class hello_effect : std::uint8_t {
  kStale,        // Of an older connection; the message is dropped.
  kRepeated,     // Of the current connection.
  kReconnected,  // A new connection of the same incarnation.
  kRestarted,    // A new incarnation.
};

struct hello_binding {
  entry_agent* agent = nullptr;
  hello_effect effect = hello_effect::kStale;
};

// The agents that have sent a hello, and the links that they use.
class agent_table {
 public:
  // Binds a link to the agent that its hello names. A new agent is reported as
  // restarted.
  hello_binding Bind(link_id link,
                     connection_number connection,
                     const wire::hello& hello);

  // The agent that sent a frame. nullptr if no hello came over its link, or if
  // a newer link or connection has replaced it.
  entry_agent* Resolve(link_id link, connection_number connection) const;

  entry_agent* Find(std::string_view name) const;

  // Removes the agents whose last message came before `cutoff` and that have no
  // outstanding task. Returns true if any was removed.
  bool RemoveInactive(monotonic_time cutoff);

  bool empty() const { return agents_.empty(); }
  std::size_t size() const { return agents_.size(); }

  template <typename Visitor>
  void ForEach(Visitor visit) const {
    for (const auto& [name, agent] : agents_)
      visit(*agent);
  }

 private:
  std::map<std::string, std::unique_ptr<entry_agent>, std::less<>> agents_;
  std::unordered_map<link_id, entry_agent*> links_;
};

}  // namespace egretrack::decision

#endif  // EGRETRACK_DECISION_AGENT_TABLE_H_
