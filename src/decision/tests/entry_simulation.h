#ifndef EGRETRACK_DECISION_TESTS_ENTRY_SIMULATION_H_
#define EGRETRACK_DECISION_TESTS_ENTRY_SIMULATION_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "egretrack/decision/entry_core.h"

namespace egretrack::decision {

// One step of a generated sequence. The simulation reduces each number modulo
// the number of choices.
struct simulation_step {
  unsigned action = 0;
  unsigned target = 0;
  unsigned variant = 0;
};

// An entry core with a few simulated agents that follow the protocol, and a
// network that drops, repeats and reorders messages. Collects violations of the
// entry's guarantees.
class entry_simulation {
 public:
  explicit entry_simulation(routing_policy routing);

  void Perform(const simulation_step& step);
  // Delivers all messages, ends all tasks while time advances, and checks the
  // answers of all requests.
  void FinishAndCheck();

  const std::vector<std::string>& violations() const { return violations_; }
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
    std::uint64_t granted = 0;  // Credits over this connection.
    std::uint64_t received = 0;
    std::uint64_t released = 0;
    std::map<task_key, record> records;
    std::vector<task_key> running;
  };
  struct message_to_entry {
    std::uint64_t link = 0;
    std::uint64_t connection = 0;
    wire::agent_message message;
  };
  struct message_to_agent {
    std::uint64_t link = 0;
    wire::entry_message message;
  };
  struct request {
    job_id id;
    std::size_t tasks = 0;
    std::string kind;
    milliseconds deadline{0};
    bool disconnected = false;
    std::vector<job_answer_ptr> answers;
  };
  using action = void (entry_simulation::*)(const simulation_step&);

  void Submit(const simulation_step& step);
  void Resubmit(const simulation_step& step);
  void Cancel(const simulation_step& step);
  void DisconnectCaller(const simulation_step& step);
  void DeliverToEntry(const simulation_step& step);
  void DeliverToAgent(const simulation_step& step);
  void DropOrRepeatMessage(const simulation_step& step);
  void EndTask(const simulation_step& step);
  void Heartbeat(const simulation_step& step);
  void Reconnect(const simulation_step& step);
  void RestartAgent(const simulation_step& step);
  void RestartEntry(const simulation_step& step);
  void AdvanceTime(const simulation_step& step);
  void Configure(const simulation_step& step);

  void StartEntry();
  void Handle(entry_event event);
  void ProcessCommands();
  void Record(send_to_agent& sent);
  void Record(answer_caller& answer);
  void AddViolation(const std::string& text) { violations_.push_back(text); }

  void Connect(agent& from);
  void SendToEntry(const agent& from, wire::agent_message message);
  void Grant(agent& from);
  void Report(agent& from, const task_key& key, dispatch_number number);
  void Receive(agent& at, const wire::dispatch& message);
  void Receive(agent& at, const wire::task_query& message);
  void Receive(agent& at, const wire::job_lookup& message);
  void Receive(agent& at, const wire::release& message);
  // The simulated agents queue no tasks, so a cancellation has no effect.
  template <typename Other>
  void Receive(agent& /*at*/, const Other& /*message*/) {}

  void CheckAnswer(const request& submitted, const job_answer& answer);
  std::size_t StartCount(const job_id& id, task_index task) const;
  static std::string ResultOf(const task_key& key);

  entry_options options_;
  std::unique_ptr<entry_core> core_;
  std::vector<entry_command> commands_;
  monotonic_time now_{seconds(10)};
  std::uint64_t config_version_ = 1;
  std::uint64_t last_sent_version_ = 0;
  std::uint64_t last_link_ = 0;
  std::vector<agent> agents_;
  std::vector<message_to_entry> inbox_;        // Undelivered, to the entry.
  std::vector<message_to_agent> outbox_;       // Undelivered, to the agents.
  std::map<std::uint64_t, request> requests_;  // By caller.
  std::map<task_key, std::size_t> start_counts_;
  std::vector<std::string> violations_;
};

}  // namespace egretrack::decision

#endif  // EGRETRACK_DECISION_TESTS_ENTRY_SIMULATION_H_
