#include "entry/command_executor.h"

#include <utility>

#include "entry/json_codec.h"
#include "entry/request_error.h"

namespace egretrack::entry {

void command_executor::Execute(control_output output) {
  frames_.clear();
  answers_.clear();
  for (decision::entry_command& command : output.commands)
    std::visit([this](auto& alternative) { On(alternative); }, command);
  parts_.agents.Send(frames_);
  if (answers_.empty() && output.reports.empty())
    return;
  parts_.answer_thread.Post([&waiting = parts_.waiting,
                             answers = std::move(answers_),
                             reports = std::move(output.reports)]() mutable {
    RespondAll(waiting, answers, reports);
  });
}

void command_executor::RespondAll(
    caller_registry& waiting,
    std::span<const decision::answer_caller> answers,
    std::span<report_reply> reports) {
  for (const decision::answer_caller& command : answers) {
    if (const auto caller = waiting.Take(command.caller)) {
      caller->exchange->Respond(
          MakeAnswerResponse(*command.answer, caller->question));
    }
  }
  for (report_reply& report : reports) {
    waiting.Respond(report.caller,
                    {200,
                     {{"Content-Type", std::move(report.content_type)}},
                     std::move(report.body)});
  }
}

void command_executor::On(decision::send_to_agent& command) {
  frames_.push_back(std::move(command));
}

// With an Idempotency-Key the job may turn out to be an earlier one, so its id
// is told only with the answer; the key serves to ask again.
void command_executor::On(decision::job_id_assigned& command) {
  const auto caller = parts_.waiting.Find(command.caller);
  const bool told =
      caller && caller->exchange->request().Header("Idempotency-Key").empty();
  if (told) {
    caller->exchange->SendInformational(
        102, {{std::string(kJobIdHeader), command.id.ToString()}});
  }
}

void command_executor::On(decision::answer_caller& command) {
  answers_.push_back(std::move(command));
}

void command_executor::On(decision::reserve_answer& command) {
  Respond(command.caller, EncodeIds(command.ids));
}

void command_executor::On(decision::forward_to_home& command) {
  parts_.homes.Forward(command);
}

void command_executor::On(decision::bind_key& command) {
  parts_.keys.Bind(std::move(command.key), command.id);
}

void command_executor::On(decision::drain_answer& command) {
  if (command.known) {
    return parts_.waiting.Respond(
        command.caller,
        {202, {{"Content-Type", "application/json"}}, R"({"draining":true})"});
  }
  parts_.waiting.Respond(
      command.caller,
      MakeErrorResponse(request_errc::kUnknownAgent,
                        "no agent of this name has connected to this entry"));
}

void command_executor::On(decision::status_answer& command) {
  Respond(command.caller, EncodeStatus(command.status));
}

void command_executor::On(decision::job_ended& /*command*/) {}

void command_executor::On(decision::configuration_offered& command) {
  parts_.configuration.Offer(command.version, std::move(command.document));
}

void command_executor::On(decision::drain_finished& /*command*/) {
  parts_.drain_finished();
}

void command_executor::Respond(decision::caller_token caller,
                               std::string body) {
  parts_.waiting.Respond(
      caller, {200, {{"Content-Type", "application/json"}}, std::move(body)});
}

}  // namespace egretrack::entry
