#ifndef EGRETRACK_DECISION_TESTS_AGENT_DRIVER_H_
#define EGRETRACK_DECISION_TESTS_AGENT_DRIVER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "egretrack/decision/agent_core.h"

namespace egretrack::decision {

// Drives an agent core with simulated time and acts as its entries and its
// endpoint. Entry n has the id "e<n>"; its clock is one hour ahead.
class agent_driver {
 public:
  static constexpr std::chrono::hours kHomeClockOffset{1};

  static agent_options Options() {
    agent_options options;
    options.agent = "a1";
    options.entries = 2;
    options.slots = 2;
    options.overcommit = 1;
    return options;
  }

  explicit agent_driver(const agent_options& options)
      : core(agent_core::Create(options).value()) {
    AdvanceTime(milliseconds(0));
  }

  void AdvanceTime(microseconds duration) {
    now += duration;
    core->Advance(now, commands);
  }

  void Handle(agent_event event) {
    core->Handle(std::move(event), now, commands);
  }

  // Delivers a message on the entry's current connection.
  void Deliver(entry_index entry, wire::entry_message message) {
    Handle(
        entry_frame_received{entry, {Connection(entry), {std::move(message)}}});
  }

  void AnnounceEndpoint() {
    Handle(endpoint_announced{"turni", "127.0.0.1", 9000});
  }

  // Delivers the entry's reply to the last heartbeat sent to it.
  void ReplyToHeartbeat(entry_index entry, std::uint32_t queue_length = 0) {
    wire::heartbeat_reply reply;
    reply.entry = EntryName(entry);
    reply.entry_incarnation = kHomeIncarnation;
    reply.sequence = LastSent<wire::heartbeat>(entry).sequence;
    reply.entry_time = HomeNow();
    reply.config_version = config_version;
    reply.queue_length = queue_length;
    Deliver(entry, reply);
  }

  wire::dispatch MakeDispatch(entry_index entry,
                              std::uint64_t job,
                              task_index task = 0) const {
    return {JobOf(entry, job),      task, 10,       dispatch_number{1}, "find",
            HomeNow() + seconds(2), 0,    "payload"};
  }

  void EndTask(const job_id& job,
               task_index task = 0,
               wire::task_state state = wire::task_state::kFinished) {
    Handle(task_ended{job, task, state, wire::task_reason::kNone, "result"});
  }

  agent_report Status() {
    Handle(agent_status_request{1});
    return Commands<deliver_agent_report>().back().report;
  }

  monotonic_time HomeNow() const { return now + kHomeClockOffset; }
  static std::string EntryName(entry_index entry) {
    return "e" + std::to_string(entry);
  }
  std::uint64_t HomeMs() const {
    return std::chrono::duration_cast<milliseconds>(
               HomeNow().time_since_epoch())
        .count();
  }
  static job_id JobOf(entry_index entry,
                      std::uint64_t job,
                      std::uint64_t created_ms = 3610000) {
    return {EntryName(entry), kHomeIncarnation, created_ms, job};
  }

  template <typename Command>
  std::vector<Command> Commands() const {
    std::vector<Command> found;
    for (const agent_command& command : commands) {
      if (const auto* match = std::get_if<Command>(&command))
        found.push_back(*match);
    }
    return found;
  }

  template <typename Message>
  std::vector<Message> Sent(entry_index entry) const {
    std::vector<Message> found;
    for (const send_to_entry& send : Commands<send_to_entry>()) {
      const auto* match = std::get_if<Message>(&send.message);
      if (send.entry == entry && match != nullptr)
        found.push_back(*match);
    }
    return found;
  }

  // Returns the last message of a type, or a default one if there is none.
  template <typename Message>
  Message LastSent(entry_index entry) const {
    const auto all = Sent<Message>(entry);
    return all.empty() ? Message() : all.back();
  }

  connection_number Connection(entry_index entry) const {
    connection_number number{};
    for (const open_connection& open : Commands<open_connection>()) {
      if (open.entry == entry)
        number = open.connection;
    }
    return number;
  }

  std::unique_ptr<agent_core> core;
  monotonic_time now{seconds(10)};
  std::vector<agent_command> commands;  // All commands so far.
  std::uint64_t config_version = 0;     // Sent in the replies.

 private:
  static constexpr incarnation kHomeIncarnation{7};
};

}  // namespace egretrack::decision

#endif  // EGRETRACK_DECISION_TESTS_AGENT_DRIVER_H_
