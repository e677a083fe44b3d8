#include "entry/command_executor.h"

#include <utility>

#include "entry/json_codec.h"
#include "entry/request_error.h"

namespace egretrack::entry {

void command_executor::Execute(control_output output) {
  messages_.clear();
  answers_.clear();
  for (decision::entry_command& command : output.commands)
    std::visit([this](auto& alternative) { On(alternative); }, command);
  dependencies_.agents.Send(messages_);
  if (answers_.empty() && output.reports.empty())
    return;
  dependencies_.answer_thread.Post(
      [&callers = dependencies_.callers, answers = std::move(answers_),
       reports = std::move(output.reports)]() mutable {
        SendResponses(callers, answers, reports);
      });
}

void command_executor::SendResponses(
    caller_registry& callers,
    std::span<const decision::answer_caller> answers,
    std::span<report_reply> reports) {
  for (const decision::answer_caller& command : answers) {
    if (const auto caller = callers.Take(command.caller)) {
      caller->exchange->Respond(
          MakeAnswerResponse(*command.answer, caller->operation));
    }
  }
  for (report_reply& report : reports) {
    callers.Respond(report.caller,
                    {200,
                     {{"Content-Type", std::move(report.content_type)}},
                     std::move(report.body)});
  }
}

void command_executor::On(decision::send_to_agent& command) {
  messages_.push_back(std::move(command));
}

// A submission with an Idempotency-Key may turn out to repeat an earlier job,
// so its job id is sent only with the answer. The caller can repeat the request
// with the same key.
void command_executor::On(decision::job_id_assigned& command) {
  const auto caller = dependencies_.callers.Find(command.caller);
  const bool send_id =
      caller && caller->exchange->request().Header("Idempotency-Key").empty();
  if (send_id) {
    caller->exchange->SendInformational(
        102, {{std::string(kJobIdHeader), command.id.ToString()}});
  }
}

void command_executor::On(decision::answer_caller& command) {
  answers_.push_back(std::move(command));
}

void command_executor::On(decision::reserve_answer& command) {
  RespondJson(command.caller, EncodeIds(command.ids));
}

void command_executor::On(decision::forward_to_home& command) {
  dependencies_.home_forwarder.Forward(command);
}

void command_executor::On(decision::bind_key& command) {
  dependencies_.keys.Bind(std::move(command.key), command.id);
}

void command_executor::On(decision::drain_answer& command) {
  if (command.known) {
    return dependencies_.callers.Respond(
        command.caller,
        {202, {{"Content-Type", "application/json"}}, R"({"draining":true})"});
  }
  dependencies_.callers.Respond(
      command.caller,
      MakeErrorResponse(request_errc::kUnknownAgent,
                        "no agent of this name has connected to this entry"));
}

void command_executor::On(decision::status_answer& command) {
  RespondJson(command.caller, EncodeStatus(command.status));
}

void command_executor::On(decision::job_ended& /*command*/) {}

void command_executor::On(decision::configuration_offered& command) {
  dependencies_.configuration.Offer(command.version,
                                    std::move(command.document));
}

void command_executor::On(decision::drain_finished& /*command*/) {
  dependencies_.drain_finished();
}

void command_executor::RespondJson(decision::caller_token caller,
                                   std::string body) {
  dependencies_.callers.Respond(
      caller, {200, {{"Content-Type", "application/json"}}, std::move(body)});
}

}  // namespace egretrack::entry
