#include "egretrackctl/commands/session.h"

#include <array>
#include <ostream>
#include <thread>
#include <utility>

#include "egretrackctl/commands/json_view.h"

namespace egretrack::ctl {
namespace {

constexpr int kMaxRounds = 2;

constexpr std::array<json_column, 3> kFaultColumns{{
    {"OBJECT", "object"},
    {"KEY", "key"},
    {"REASON", "reason"},
}};

}  // namespace

exit_code ExitCodeForReply(const entry_reply& reply) {
  const exit_code code = ExitCodeForResponse(*reply.response);
  if (code != exit_code::kRefused || !reply.may_have_taken_effect)
    return code;
  const auto body = ParseJson(reply.response->body);
  return body && TextAt(*body, "not_run") == "true"
             ? code
             : exit_code::kOutcomeUnknown;
}

entry_reply session::SendToAny(const net::http_request& request,
                               milliseconds extra_timeout) const {
  return SendInTurn(options_.entries, request,
                    options_.timeout + extra_timeout);
}

entry_reply session::SendTo(const net::tcp_address& entry,
                            const net::http_request& request) const {
  return SendInTurn({&entry, 1}, request, options_.timeout);
}

entry_reply session::SendInTurn(std::span<const net::tcp_address> entries,
                                const net::http_request& request,
                                milliseconds timeout) const {
  entry_reply reply;
  for (int round = 0; round < kMaxRounds; ++round) {
    if (round > 0)
      std::this_thread::sleep_for(options_.retry_delay);
    for (const net::tcp_address& entry : entries) {
      net::http_reply attempt = transport_.Call(entry, request, timeout);
      if (attempt.ok) {
        reply.response = std::move(attempt.response);
        return reply;
      }
      reply.may_have_taken_effect |=
          attempt.failure.stage == net::call_stage::kSent;
      reply.last_error = std::move(attempt.failure.cause);
      reply.last_error.detail = "entry " + reply.last_error.detail;
    }
  }
  return reply;
}

exit_code session::ReportNoResponse(const entry_reply& reply,
                                    bool read_only) const {
  err_ << reply.last_error.ToString() << '\n';
  if (read_only || !reply.may_have_taken_effect)
    return exit_code::kUnreachable;
  err_ << "The request may have taken effect.\n";
  return exit_code::kOutcomeUnknown;
}

exit_code session::ReportError(const entry_reply& reply) const {
  const net::http_response& response = *reply.response;
  const exit_code code = ExitCodeForReply(reply);
  if (options_.json) {
    out_ << response.body << '\n';
    return code;
  }
  const auto body = ParseJson(response.body);
  if (!body) {
    err_ << "The entry responded with HTTP status " << response.status << ".\n";
    return code;
  }
  err_ << TextAt(*body, "error") << ": " << TextAt(*body, "message") << '\n';
  const auto& faults = ArrayAt(*body, "faults");
  if (!faults.empty())
    MakeTable(kFaultColumns, faults).Print(err_);
  return code;
}

exit_code session::ReportInvalidInput(std::string_view message) const {
  err_ << message << '\n';
  return exit_code::kInvalid;
}

net::http_request MakeRequest(std::string_view method,
                              std::string target,
                              std::string body) {
  net::http_request request;
  request.method = std::string(method);
  request.target = std::move(target);
  request.body = std::move(body);
  return request;
}

}  // namespace egretrack::ctl
