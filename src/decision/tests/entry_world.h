#ifndef EGRETRACK_DECISION_TESTS_ENTRY_WORLD_H_
#define EGRETRACK_DECISION_TESTS_ENTRY_WORLD_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "egretrack/decision/entry_core.h"

namespace egretrack::decision {

// One step of a generated sequence; the world takes the numbers modulo what it
// has to choose from.
struct world_step {
  unsigned action = 0;
  unsigned which = 0;
  unsigned detail = 0;
};

// An entry core, a few agents that keep the design's rules, and a network that
// drops, repeats and reorders messages. Collects breaches of the guarantees.
class entry_world {
 public:
  explicit entry_world(routing_policy routing);

  void Take(const world_step& step);
  // Heals the network, lets time pass, and checks what must hold at the end.
  void Settle();

  const std::vector<std::string>& breaches() const { return breaches_; }
  std::size_t answers(job_outcome outcome) const;

 private:
  using task_key = std::pair<job_id, task_index>;

  struct record {
    wire::task_state state = wire::task_state::kRefused;
    std::uint32_t task_count = 0;
    dispatch_number dispatch{};
    std::string result;
  };
  struct agent {
    std::string name;
    incarnation agent_incarnation{};
    std::uint64_t connection = 0;
    std::uint64_t link = 0;
    std::uint64_t granted = 0;  // Over this connection.
    std::uint64_t received = 0;
    std::uint64_t released = 0;
    std::map<task_key, record> records;
    std::vector<task_key> running;
  };
  struct to_entry {
    std::uint64_t link = 0;
    std::uint64_t connection = 0;
    wire::agent_message message;
  };
  struct to_agent {
    std::uint64_t link = 0;
    wire::entry_message message;
  };
  struct request {
    job_id id;
    std::size_t tasks = 0;
    std::string kind;
    milliseconds deadline{0};
    bool gone = false;
    std::vector<job_answer_ptr> answers;
  };
  using action = void (entry_world::*)(const world_step&);

  void Submit(const world_step& step);
  void Resubmit(const world_step& step);
  void Cancel(const world_step& step);
  void LoseCaller(const world_step& step);
  void DeliverToEntry(const world_step& step);
  void DeliverToAgent(const world_step& step);
  void Disturb(const world_step& step);
  void EndTask(const world_step& step);
  void Heartbeat(const world_step& step);
  void Reconnect(const world_step& step);
  void RestartAgent(const world_step& step);
  void RestartEntry(const world_step& step);
  void PassTime(const world_step& step);
  void Configure(const world_step& step);

  void StartEntry();
  void Handle(entry_event event);
  void Drain();
  void Note(send_to_agent& sent);
  void Note(answer_caller& answer);
  void Breach(const std::string& text) { breaches_.push_back(text); }

  void Connect(agent& from);
  void SendToEntry(const agent& from, wire::agent_message message);
  void Grant(agent& from);
  void Report(agent& from, const task_key& key, dispatch_number number);
  void Receive(agent& at, const wire::dispatch& message);
  void Receive(agent& at, const wire::task_query& message);
  void Receive(agent& at, const wire::job_lookup& message);
  void Receive(agent& at, const wire::release& message);
  // These agents queue nothing, so a cancellation finds nothing to refuse.
  template <typename Other>
  void Receive(agent& /*at*/, const Other& /*message*/) {}

  void CheckAnswer(const request& asked, const job_answer& answer);
  std::size_t StartsOf(const job_id& id, task_index task) const;
  static std::string ResultOf(const task_key& key);

  entry_options options_;
  std::unique_ptr<entry_core> core_;
  std::vector<entry_command> commands_;
  monotonic_time now_{seconds(10)};
  std::uint64_t config_version_ = 1;
  std::uint64_t seen_version_ = 0;
  std::uint64_t last_link_ = 0;
  std::vector<agent> agents_;
  std::vector<to_entry> inbox_;
  std::vector<to_agent> outbox_;
  std::map<std::uint64_t, request> requests_;  // By caller.
  std::map<task_key, std::size_t> starts_;
  std::vector<std::string> breaches_;
};

}  // namespace egretrack::decision

#endif  // EGRETRACK_DECISION_TESTS_ENTRY_WORLD_H_
