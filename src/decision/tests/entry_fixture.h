#ifndef EGRETRACK_DECISION_TESTS_ENTRY_FIXTURE_H_
#define EGRETRACK_DECISION_TESTS_ENTRY_FIXTURE_H_

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "egretrack/decision/entry_core.h"

namespace egretrack::decision {

// A desk with a plain kind "find", an idempotent kind "read" and a slow kind
// "plan", all served by one endpoint. Tests add team limits.
inline objects::configuration MakeConfiguration(std::uint64_t version) {
  objects::configuration configuration;
  configuration.version = version;
  configuration.document = "version " + std::to_string(version);
  configuration.objects.desks = {{"desk", 0.999}};
  objects::request_kind kind;
  kind.desk = "desk";
  kind.expected = milliseconds(100);
  for (const char* name : {"find", "plan", "read"}) {
    kind.name = name;
    kind.idempotent = kind.name == "read";
    kind.expected = milliseconds(kind.name == "plan" ? 3000 : 100);
    configuration.objects.kinds.push_back(kind);
  }
  configuration.objects.endpoints = {
      {"turni", "desk", {"find", "plan", "read"}, 8, 64}};
  return configuration;
}

inline entry_options MakeOptions() {
  entry_options options;
  options.entry = "e1";
  options.entry_incarnation = incarnation{0x11};
  options.peers = {"e2"};
  options.random_seed = 1;
  return options;
}

// Feeds events to an entry core and collects its commands.
class entry_driver {
 public:
  explicit entry_driver(entry_options options = MakeOptions())
      : core_(entry_core::Create(std::move(options)).value()) {}

  void Handle(entry_event event) {
    core_->Handle(std::move(event), now_, wall_, commands_);
  }
  void AdvanceTime(milliseconds time) {
    const monotonic_time end = now_ + time;
    while (now_ < end) {
      now_ = std::min(end, now_ + milliseconds(50));
      core_->Advance(now_, wall_, commands_);
    }
  }
  void Configure(objects::configuration set = MakeConfiguration(1)) {
    Handle(configuration_received{
        std::make_shared<const objects::configuration>(std::move(set))});
  }

  void ReceiveFromAgent(std::uint64_t link,
                        std::uint64_t connection,
                        wire::agent_message message) {
    wire::agent_frame frame{connection_number{connection}, {}};
    frame.messages.push_back(std::move(message));
    Handle(agent_frame_received{link_id{link}, std::move(frame)});
  }
  static wire::hello Hello(const std::string& agent,
                           std::uint64_t agent_incarnation) {
    return {agent, incarnation{agent_incarnation}, "turni", "rack", 8, 0,
            false};
  }
  static wire::heartbeat Heartbeat(std::uint64_t granted) {
    return {1, "turni", 8, 0, 0, granted, false};
  }
  // Connects agent "a<link>" over `link` as connection 1 and grants credits.
  void ConnectAgent(std::uint64_t link, std::uint64_t credits) {
    ReceiveFromAgent(link, 1, Hello("a" + std::to_string(link), link));
    ReceiveFromAgent(link, 1, wire::grant{credits});
  }
  void Report(std::uint64_t link,
              const wire::dispatch& sent,
              wire::task_state state,
              std::uint64_t granted = 0) {
    wire::task_report report;
    report.job = sent.job;
    report.task = sent.task;
    report.dispatch = sent.number;
    report.state = state;
    report.run_time = milliseconds(100);
    report.granted_total = granted;
    if (state == wire::task_state::kFinished)
      report.result = "r" + std::to_string(sent.task);
    ReceiveFromAgent(link, 1, std::move(report));
  }

  caller_token Submit(std::size_t tasks,
                      std::optional<job_id> id = std::nullopt,
                      const std::string& kind = "find",
                      const std::string& team = "",
                      const std::string& key = "") {
    submit_request request;
    request.caller = caller_token{++last_caller_};
    request.id = std::move(id);
    request.job = {kind, team, std::nullopt,
                   std::vector<std::string>(tasks, "p")};
    request.idempotency_key = key;
    Handle(request);
    return request.caller;
  }
  caller_token NewCaller() { return caller_token{++last_caller_}; }
  job_id Reserve() {
    Handle(reserve_request{NewCaller(), 1});
    return TakeCommands<reserve_answer>().back().ids.front();
  }

  void ClearCommands() { commands_.clear(); }

  // Removes and returns the commands of one type.
  template <typename Command>
  std::vector<Command> TakeCommands() {
    std::vector<Command> taken;
    std::vector<entry_command> rest;
    for (entry_command& command : commands_) {
      if (auto* match = std::get_if<Command>(&command))
        taken.push_back(std::move(*match));
      else
        rest.push_back(std::move(command));
    }
    commands_ = std::move(rest);
    return taken;
  }

  template <typename Message>
  struct sent_message {
    std::uint64_t link = 0;
    Message message;
  };
  template <typename Message>
  std::vector<sent_message<Message>> TakeSentMessages() {
    std::vector<sent_message<Message>> taken;
    std::vector<entry_command> rest;
    for (entry_command& command : commands_) {
      auto* sent = std::get_if<send_to_agent>(&command);
      auto* match =
          sent == nullptr ? nullptr : std::get_if<Message>(&sent->message);
      if (match != nullptr) {
        taken.push_back(
            {static_cast<std::uint64_t>(sent->link), std::move(*match)});
      } else {
        rest.push_back(std::move(command));
      }
    }
    commands_ = std::move(rest);
    return taken;
  }
  // The answer to a caller; nullptr if it got none or more than one.
  job_answer_ptr AnswerOf(caller_token caller) {
    job_answer_ptr found;
    int answers = 0;
    for (const entry_command& command : commands_) {
      const auto* answer = std::get_if<answer_caller>(&command);
      if (answer != nullptr && answer->caller == caller) {
        found = answer->answer;
        ++answers;
      }
    }
    return answers == 1 ? found : nullptr;
  }

  entry_core& core() { return *core_; }
  monotonic_time now() const { return now_; }

 private:
  std::unique_ptr<entry_core> core_;
  std::vector<entry_command> commands_;
  monotonic_time now_{seconds(10)};
  wall_time wall_{seconds(1000)};
  std::uint64_t last_caller_ = 0;
};

}  // namespace egretrack::decision

#endif  // EGRETRACK_DECISION_TESTS_ENTRY_FIXTURE_H_
