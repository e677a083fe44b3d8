#ifndef EGRETRACK_SCHEDULER_TESTS_SUPERVISOR_DRIVER_H_
#define EGRETRACK_SCHEDULER_TESTS_SUPERVISOR_DRIVER_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "egretrack/scheduler/run_supervisor.h"

namespace egretrack::scheduler {

// Drives a run supervisor with a simulated clock, entries and worker. Entry n
// is named "e<n>" and its clock is one hour ahead. The worker's clock started
// five seconds before the driver's.
class supervisor_driver {
 public:
  static constexpr std::chrono::hours kEntryClockOffset{1};
  static constexpr milliseconds kWorkerClockAtStart{5000};
  static constexpr std::int64_t kWorkerIncarnation = 1000;

  static supervisor_options Options() {
    supervisor_options options;
    options.agent = "a1";
    options.agent_incarnation = incarnation{7};
    options.failure_domain = "palermo";
    options.first_fence = 10;
    return options;
  }

  explicit supervisor_driver(const supervisor_options& options = Options())
      : core(run_supervisor::Create(options).value()) {
    Handle(entries_discovered{{{"e0", "10.0.0.1:7"}, {"e1", "10.0.0.2:7"}}});
    AnswerHeartbeats();
  }

  // Connects a worker and answers its first poll without any runs.
  void ConnectIdleWorker() {
    Handle(WorkerReport());
    AnswerPoll({});
    AnswerHeartbeats();
  }

  static worker_report WorkerReport(
      std::int64_t worker_incarnation = kWorkerIncarnation,
      std::uint64_t sequence = 1) {
    worker_report report;
    report.id = "w";
    report.worker_incarnation = worker_incarnation;
    report.desk = "gas";
    report.address = "10.0.0.9:8";
    report.labels = {"a", "r1"};
    report.capacity = {16000, 32768, 0};
    report.sequence = sequence;
    return report;
  }

  void Handle(supervisor_event event) {
    core->Handle(std::move(event), now, commands);
    core->Advance(now, commands);
  }

  void AdvanceTime(microseconds time) {
    now += time;
    core->Advance(now, commands);
  }

  // Advances the clock while the entries and the worker answer.
  void AdvanceWithAnswers(microseconds time,
                          const std::vector<running_row>& running) {
    constexpr milliseconds kStep{25};
    for (microseconds passed{0}; passed < time; passed += kStep) {
      AdvanceTime(kStep);
      AnswerHeartbeats();
      AnswerPoll(running);
    }
  }

  monotonic_time EntryNow() const { return now + kEntryClockOffset; }
  milliseconds WorkerNow() const {
    return kWorkerClockAtStart +
           std::chrono::duration_cast<milliseconds>(now.time_since_epoch());
  }

  wire::entry_run_frame MakeFrame(entry_index entry) const {
    wire::entry_run_frame frame;
    frame.entry = "e" + std::to_string(entry);
    frame.entry_incarnation = EntryIncarnation(entry);
    frame.entry_time = EntryNow();
    frame.connection = Connection(entry);
    return frame;
  }

  incarnation EntryIncarnation(entry_index entry) const {
    const auto found = entry_restarts.find(entry);
    const std::uint64_t restarts =
        found == entry_restarts.end() ? 0 : found->second;
    return incarnation{1000 * restarts + entry + 1};
  }

  // Replaces the entry process by a new one, whose heartbeat reply arrives on
  // the connection of the earlier one.
  void RestartEntry(entry_index entry) {
    ++entry_restarts[entry];
    auto frame = MakeFrame(entry);
    frame.messages.emplace_back(wire::beat_reply{});
    Handle(entry_frame{entry, frame});
  }

  // Connection number of the last frame to the entry.
  connection_number Connection(entry_index entry) const {
    connection_number connection{1};
    for (const auto& command : commands) {
      const auto* send = std::get_if<send_to_entry>(&command);
      if (send != nullptr && send->entry == entry)
        connection = send->frame.connection;
    }
    return connection;
  }

  // Answers every heartbeat sent to `entries` since the last call.
  void AnswerHeartbeats(std::vector<entry_index> entries = {0, 1}) {
    const std::size_t end = commands.size();
    std::vector<std::pair<entry_index, std::uint64_t>> heartbeats;
    for (; heartbeat_scan_position < end; ++heartbeat_scan_position) {
      const auto* send =
          std::get_if<send_to_entry>(&commands[heartbeat_scan_position]);
      if (send == nullptr)
        continue;
      for (const auto& message : send->frame.messages) {
        if (const auto* heartbeat = std::get_if<wire::agent_beat>(&message))
          heartbeats.emplace_back(send->entry, heartbeat->sequence);
      }
    }
    for (const auto& [entry, sequence] : heartbeats) {
      if (std::find(entries.begin(), entries.end(), entry) == entries.end())
        continue;
      auto frame = MakeFrame(entry);
      wire::beat_reply reply;
      reply.sequence = sequence;
      frame.messages.emplace_back(reply);
      Handle(entry_frame{entry, frame});
    }
  }

  wire::run_dispatch MakeDispatch(std::uint32_t task) const {
    wire::run_dispatch dispatch;
    dispatch.job = 1;
    dispatch.task = task;
    dispatch.attempt = 1;
    dispatch.job_key = "j";
    dispatch.index = task;
    dispatch.need = {1600, 64, 0};
    dispatch.spec = "spec";
    dispatch.predicted = milliseconds(100);
    dispatch.start_by = EntryNow() + seconds(1);
    dispatch.target = milliseconds(300);
    dispatch.virtual_deadline = dispatch.target;
    dispatch.queue_bound = milliseconds(400);
    return dispatch;
  }

  void Dispatch(std::uint32_t task,
                milliseconds predicted = milliseconds(100),
                entry_index entry = 0,
                const std::string& job_key = "j") {
    wire::run_dispatch dispatch = MakeDispatch(task);
    dispatch.job_key = job_key;
    dispatch.predicted = predicted;
    auto frame = MakeFrame(entry);
    frame.messages.emplace_back(dispatch);
    Handle(entry_frame{entry, frame});
  }

  static run_id RunId(std::uint32_t task, std::uint32_t run = 1) {
    return {"j", 0, task, run};
  }

  template <typename Command>
  std::vector<Command> Commands() const {
    std::vector<Command> found;
    for (const auto& command : commands) {
      if (const auto* match = std::get_if<Command>(&command))
        found.push_back(*match);
    }
    return found;
  }

  // Answers the pending poll, if any.
  void AnswerPoll(std::vector<running_row> running,
                  std::vector<ended_row> ended = {},
                  std::int64_t worker_incarnation = kWorkerIncarnation) {
    const std::size_t polls = Commands<poll_worker>().size();
    if (polls == answered_polls)
      return;
    answered_polls = polls;
    poll_answered answer;
    answer.result = worker_call_result::kAccepted;
    answer.worker_incarnation = worker_incarnation;
    answer.worker_clock = WorkerNow();
    answer.running = std::move(running);
    answer.ended = std::move(ended);
    Handle(answer);
  }

  void FailPoll(worker_call_result result = worker_call_result::kUnanswered) {
    answered_polls = Commands<poll_worker>().size();
    poll_answered answer;
    answer.result = result;
    Handle(answer);
  }

  void AnswerStart(const run_id& id,
                   worker_call_result result = worker_call_result::kAccepted) {
    start_answered answer{id, result, {}, {}};
    if (result == worker_call_result::kAccepted)
      answer.worker_clock = WorkerNow();
    Handle(answer);
  }

  std::vector<wire::run_report> Reports() const {
    std::vector<wire::run_report> reports;
    for (const auto& send : Commands<send_to_entry>()) {
      for (const auto& message : send.frame.messages) {
        if (const auto* report = std::get_if<wire::run_report>(&message))
          reports.push_back(*report);
      }
    }
    return reports;
  }

  // The last heartbeat to the entry, or nullopt before the first one.
  std::optional<wire::agent_beat> LastHeartbeat(entry_index entry) const {
    std::optional<wire::agent_beat> last;
    for (const auto& send : Commands<send_to_entry>()) {
      for (const auto& message : send.frame.messages) {
        const auto* heartbeat = std::get_if<wire::agent_beat>(&message);
        if (heartbeat != nullptr && send.entry == entry)
          last = *heartbeat;
      }
    }
    return last;
  }

  // Whether the last heartbeat to the entry reports that older runs have ended.
  std::optional<bool> LastSettled(entry_index entry) const {
    const auto heartbeat = LastHeartbeat(entry);
    return heartbeat ? std::optional(heartbeat->settled) : std::nullopt;
  }

  // Whether the last heartbeat to the entry names a usable worker.
  std::optional<bool> LastHeartbeatNamesWorker(entry_index entry) const {
    const auto heartbeat = LastHeartbeat(entry);
    return heartbeat ? std::optional(!heartbeat->worker.empty()) : std::nullopt;
  }

  std::unique_ptr<run_supervisor> core;
  monotonic_time now{seconds(100)};
  std::vector<supervisor_command> commands;
  std::map<entry_index, std::uint64_t> entry_restarts;
  std::size_t heartbeat_scan_position = 0;
  std::size_t answered_polls = 0;
};

}  // namespace egretrack::scheduler

#endif  // EGRETRACK_SCHEDULER_TESTS_SUPERVISOR_DRIVER_H_
