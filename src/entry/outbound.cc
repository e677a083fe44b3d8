#include "entry/outbound.h"

#include <utility>

#include "entry/json_codec.h"
#include "entry/request_error.h"

namespace egretrack::entry {

void outbound::Perform(control_output output) {
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

void outbound::RespondAll(callers& waiting,
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

void outbound::On(decision::send_to_agent& command) {
  frames_.push_back(std::move(command));
}

// With an Idempotency-Key the job may turn out to be an earlier one, so its id
// is told only with the answer; the key serves to ask again.
void outbound::On(decision::job_id_assigned& command) {
  const auto caller = parts_.waiting.Find(command.caller);
  const bool told =
      caller && caller->exchange->request().Header("Idempotency-Key").empty();
  if (told) {
    caller->exchange->SendInformational(
        102, {{std::string(kJobIdHeader), command.id.ToString()}});
  }
}

void outbound::On(decision::answer_caller& command) {
  answers_.push_back(std::move(command));
}

void outbound::On(decision::reserve_answer& command) {
  Respond(command.caller, EncodeIds(command.ids));
}

void outbound::On(decision::forward_to_home& command) {
  parts_.homes.Forward(command);
}

void outbound::On(decision::bind_key& command) {
  parts_.keys.Bind(std::move(command.key), command.id);
}

void outbound::On(decision::drain_answer& command) {
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

void outbound::On(decision::status_answer& command) {
  Respond(command.caller, EncodeStatus(command.status));
}

void outbound::On(decision::job_ended& /*command*/) {}

void outbound::On(decision::configuration_offered& command) {
  parts_.configuration.Offer(command.version, std::move(command.document));
}

void outbound::On(decision::drain_finished& /*command*/) {
  parts_.drain_finished();
}

void outbound::Respond(decision::caller_token caller, std::string body) {
  parts_.waiting.Respond(
      caller, {200, {{"Content-Type", "application/json"}}, std::move(body)});
}

}  // namespace egretrack::entry
