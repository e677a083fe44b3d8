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

// A task that the scheduler sent to an agent.
struct sent_task {
  std::string agent;
  wire::run_dispatch dispatch;
};

// Drives a job scheduler with a clock of its own, in the place of its callers
// and its agents. Agent n is called "a<n>" and has link n.
class scheduler_driver {
 public:
  static scheduler_options Options() {
    scheduler_options options;
    options.entry = "e1";
    options.failure_domain = "palermo";
    return options;
  }

  explicit scheduler_driver(const scheduler_options& options = Options())
      : core(job_scheduler::Create(options).value()) {}

  // One desk "gas" with the kind "find" at host "h", prefix "/find/".
  static objects::configuration_ptr Configuration(
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
    Handle(configuration_received{Configuration(version, max_attempts)});
  }

  void Handle(scheduler_event event) {
    core->Handle(std::move(event), now, commands);
    core->Advance(now, commands);
  }

  void Pass(microseconds time) {
    now += time;
    core->Advance(now, commands);
  }

  // Lets time pass while the agents go on beating.
  void PassWithBeats(microseconds time, std::vector<std::uint32_t> agents) {
    constexpr milliseconds kStep{50};
    for (microseconds passed{0}; passed < time; passed += kStep) {
      Pass(kStep);
      for (const std::uint32_t agent : agents)
        Beat(agent);
    }
  }

  wire::agent_run_frame Frame(std::uint32_t agent) const {
    wire::agent_run_frame frame;
    frame.agent = "a" + std::to_string(agent);
    frame.agent_incarnation = incarnation{7};
    frame.connection = connection_number{1};
    frame.load.free = {16000, 32768, 0};
    frame.load.dispatches_seen = 1000000;
    return frame;
  }

  wire::agent_beat BeatMessage() {
    wire::agent_beat beat;
    beat.sequence = ++sequence;
    beat.failure_domain = "palermo";
    beat.worker.push_back({"w", "gas", {"a", "r1"}, {16000, 32768, 0}});
    beat.settled = true;
    return beat;
  }

  void Beat(std::uint32_t agent) { Beat(agent, Frame(agent)); }
  void Beat(std::uint32_t agent, wire::agent_run_frame frame) {
    frame.messages.emplace_back(BeatMessage());
    Deliver(agent, std::move(frame));
  }

  void Deliver(std::uint32_t agent, wire::agent_run_frame frame) {
    Handle(agent_frame{link_id{agent}, std::move(frame)});
  }

  static job_submission Job(std::uint64_t caller,
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

  // Tasks sent since the last call.
  std::vector<sent_task> TakeSent() {
    std::vector<sent_task> sent;
    for (std::size_t at = taken; at < commands.size(); ++at) {
      const auto* send = std::get_if<send_to_agent>(&commands[at]);
      if (send == nullptr)
        continue;
      const auto agent =
          "a" + std::to_string(static_cast<std::uint64_t>(send->link));
      for (const auto& message : send->frame.messages) {
        if (const auto* task = std::get_if<wire::run_dispatch>(&message))
          sent.push_back({agent, *task});
      }
    }
    taken = commands.size();
    return sent;
  }

  std::size_t CountCancels() const {
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

  void Report(const sent_task& task,
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
    wire::agent_run_frame frame = Frame(agent);
    frame.messages.emplace_back(report);
    Deliver(agent, std::move(frame));
  }

  std::vector<answer_job> AnswersOf(std::uint64_t caller) const {
    std::vector<answer_job> answers;
    for (const scheduler_command& command : commands) {
      const auto* answer = std::get_if<answer_job>(&command);
      if (answer != nullptr && answer->caller == caller_token{caller})
        answers.push_back(*answer);
    }
    return answers;
  }

  // The one answer that the caller got; nothing when it got none or several.
  std::optional<answer_job> AnswerOf(std::uint64_t caller) const {
    const auto answers = AnswersOf(caller);
    return answers.size() == 1 ? std::optional(answers.front()) : std::nullopt;
  }

  std::unique_ptr<job_scheduler> core;
  monotonic_time now{seconds(100)};
  std::vector<scheduler_command> commands;
  std::size_t taken = 0;
  std::uint64_t sequence = 0;
};

}  // namespace egretrack::scheduler

#endif  // EGRETRACK_SCHEDULER_TESTS_SCHEDULER_DRIVER_H_
