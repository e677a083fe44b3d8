#ifndef EGRETRACK_SCHEDULER_TESTS_SCHEDULER_DRIVER_H_
#define EGRETRACK_SCHEDULER_TESTS_SCHEDULER_DRIVER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "egretrack/scheduler/job_scheduler.h"

namespace egretrack::scheduler {

// A dispatch that the scheduler sent to an agent.
struct dispatched_task {
  std::string agent;
  wire::run_dispatch dispatch;
};

// Drives a job scheduler with a simulated clock and takes the roles of its
// callers and agents. Agent n has the name "a<n>" and the link n.
class scheduler_driver {
 public:
  static scheduler_options DefaultOptions() {
    scheduler_options options;
    options.entry = "e1";
    options.entry_incarnation = incarnation{42};
    options.failure_domain = "palermo";
    return options;
  }

  explicit scheduler_driver(const scheduler_options& options = DefaultOptions())
      : core(job_scheduler::Create(options).value()) {}

  // One desk "gas" with the request kind "find": host "h", path prefix
  // "/find/".
  static objects::configuration_ptr MakeConfiguration(
      std::uint64_t version,
      std::uint32_t max_attempts = 3) {
    objects::configuration configuration;
    configuration.version = version;
    objects::desk desk;
    desk.name = "gas";
    configuration.objects.desks.push_back(desk);
    objects::request_kind kind;
    kind.name = "find";
    kind.desk = "gas";
    kind.host = "h";
    kind.path_prefix = "/find/";
    kind.deadline = milliseconds(1500);
    kind.max_attempts = max_attempts;
    kind.stretch = 1.6;
    kind.target = milliseconds(60);
    configuration.objects.kinds.push_back(kind);
    return std::make_shared<const objects::configuration>(configuration);
  }

  void Configure(std::uint64_t version = 1, std::uint32_t max_attempts = 3) {
    Handle(configuration_received{MakeConfiguration(version, max_attempts)});
  }

  // A submission is read from an open connection at this moment. Unless it says
  // otherwise, its caller has just sent it.
  void Handle(scheduler_event event) {
    if (auto* job = std::get_if<job_submission>(&event)) {
      job->caller_seen_at = now;
      if (job->sent_after == monotonic_time{})
        job->sent_after = now;
    }
    core->Handle(std::move(event), now, commands);
    Advance();
  }

  void AdvanceTime(microseconds time) {
    now += time;
    Advance();
  }

  void Advance() {
    core->Advance(now, commands);
    if (callers_stay && AnswerCallerChecks())
      core->Advance(now, commands);
  }

  // Callers whose connections are to be looked at since the previous call.
  std::vector<caller_token> TakeCallerChecks() {
    std::vector<caller_token> callers;
    for (; checks_read < commands.size(); ++checks_read) {
      if (const auto* check = std::get_if<check_caller>(&commands[checks_read]))
        callers.push_back(check->caller);
    }
    return callers;
  }

  // Answers that the callers are present; returns whether any was asked for.
  bool AnswerCallerChecks() {
    const auto callers = TakeCallerChecks();
    for (const caller_token caller : callers)
      core->Handle(caller_seen{caller, now}, now, commands);
    return !callers.empty();
  }

  // Advances the clock while the given agents send heartbeats.
  void AdvanceTimeWithHeartbeats(microseconds time,
                                 std::vector<std::uint32_t> agents) {
    constexpr milliseconds kHeartbeatInterval{50};
    for (microseconds elapsed{0}; elapsed < time;
         elapsed += kHeartbeatInterval) {
      AdvanceTime(kHeartbeatInterval);
      for (const std::uint32_t agent : agents)
        SendHeartbeat(agent);
    }
  }

  wire::agent_run_frame MakeFrame(std::uint32_t agent) const {
    wire::agent_run_frame frame;
    frame.agent = "a" + std::to_string(agent);
    frame.agent_incarnation = incarnation{7};
    frame.connection = connection_number{1};
    frame.entry_incarnation = addressed_process;
    frame.load.free = {16000, 32768, 0};
    frame.load.dispatches_seen = 1000000;
    return frame;
  }

  wire::agent_beat MakeHeartbeat() {
    wire::agent_beat heartbeat;
    heartbeat.sequence = ++last_sequence;
    heartbeat.failure_domain = "palermo";
    heartbeat.worker.push_back({"w", "gas", {"a", "r1"}, {16000, 32768, 0}});
    heartbeat.settled = true;
    return heartbeat;
  }

  void SendHeartbeat(std::uint32_t agent) {
    SendHeartbeat(agent, MakeFrame(agent));
  }
  void SendHeartbeat(std::uint32_t agent, wire::agent_run_frame frame) {
    frame.messages.emplace_back(MakeHeartbeat());
    DeliverFrame(agent, std::move(frame));
  }

  void DeliverFrame(std::uint32_t agent, wire::agent_run_frame frame) {
    Handle(agent_frame{link_id{agent}, std::move(frame)});
  }

  static job_submission MakeJob(std::uint64_t caller,
                                std::string key,
                                std::uint32_t tasks = 1) {
    job_submission job;
    job.caller = caller_token{caller};
    job.host = "h";
    job.path = "/find/" + std::move(key);
    job.deadline = milliseconds(1500);
    job.spec = "spec";
    job_step step;
    step.count = tasks;
    step.need = {1600, 64, 0};
    step.estimate = milliseconds(100);
    job.steps.push_back(step);
    return job;
  }

  // Returns the dispatches since the previous call.
  std::vector<dispatched_task> TakeDispatched() {
    std::vector<dispatched_task> dispatched;
    for (std::size_t index = commands_read; index < commands.size(); ++index) {
      const auto* send = std::get_if<send_to_agent>(&commands[index]);
      if (send == nullptr)
        continue;
      const auto agent =
          "a" + std::to_string(static_cast<std::uint64_t>(send->link));
      for (const auto& message : send->frame.messages) {
        if (const auto* task = std::get_if<wire::run_dispatch>(&message))
          dispatched.push_back({agent, *task});
      }
    }
    commands_read = commands.size();
    return dispatched;
  }

  std::size_t CountCancelMessages() const {
    std::size_t count = 0;
    for (const scheduler_command& command : commands) {
      const auto* send = std::get_if<send_to_agent>(&command);
      if (send == nullptr)
        continue;
      for (const auto& message : send->frame.messages)
        count += std::holds_alternative<wire::run_cancel>(message) ? 1 : 0;
    }
    return count;
  }

  void Report(const dispatched_task& task,
              wire::run_end end,
              wire::run_reason reason = wire::run_reason::kNone) {
    const auto agent =
        static_cast<std::uint32_t>(std::stoul(task.agent.substr(1)));
    wire::run_report report;
    report.job = task.dispatch.job;
    report.task = task.dispatch.task;
    report.attempt = task.dispatch.attempt;
    report.end = end;
    report.reason = reason;
    report.ran = milliseconds(100);
    wire::agent_run_frame frame = MakeFrame(agent);
    frame.messages.emplace_back(report);
    DeliverFrame(agent, std::move(frame));
  }

  std::vector<answer_job> AnswersFor(std::uint64_t caller) const {
    std::vector<answer_job> answers;
    for (const scheduler_command& command : commands) {
      const auto* answer = std::get_if<answer_job>(&command);
      if (answer != nullptr && answer->caller == caller_token{caller})
        answers.push_back(*answer);
    }
    return answers;
  }

  // The only answer to the caller; std::nullopt if there are none or several.
  std::optional<answer_job> AnswerFor(std::uint64_t caller) const {
    const auto answers = AnswersFor(caller);
    return answers.size() == 1 ? std::optional(answers.front()) : std::nullopt;
  }

  // Whether the last frame to an agent asks it to reconnect.
  bool RequestsReconnect() const {
    bool reconnect = false;
    for (const scheduler_command& command : commands) {
      const auto* send = std::get_if<send_to_agent>(&command);
      if (send == nullptr)
        continue;
      reconnect = false;
      for (const auto& message : send->frame.messages) {
        const auto* reply = std::get_if<wire::beat_reply>(&message);
        reconnect = reconnect || (reply != nullptr && reply->reconnect);
      }
    }
    return reconnect;
  }

  std::unique_ptr<job_scheduler> core;
  monotonic_time now{seconds(100)};
  std::vector<scheduler_command> commands;
  std::size_t commands_read = 0;
  std::size_t checks_read = 0;
  bool callers_stay = true;  // Answer checks of callers at once.
  std::uint64_t last_sequence = 0;
  // The entry process that agents name in their frames.
  std::optional<incarnation> addressed_process;
};

}  // namespace egretrack::scheduler

#endif  // EGRETRACK_SCHEDULER_TESTS_SCHEDULER_DRIVER_H_
