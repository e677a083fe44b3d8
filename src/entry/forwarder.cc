#include "entry/forwarder.h"

#include <array>
#include <utility>

#include "entry/request_error.h"

namespace egretrack::entry {
namespace {

constexpr std::array<std::string_view, 2> kRelayedHeaders = {"Content-Type",
                                                             "Retry-After"};

// A submission without a job id is forwarded only if its Idempotency-Key names
// an existing job. The home entry receives it as a resubmission with the id.
net::http_request MakeForwardedRequest(const net::http_request& request,
                                       const job_id& id) {
  const bool without_id = request.method == "POST";
  return {.method = without_id ? "PUT" : request.method,
          .target = "/v1/jobs/" + id.ToString(),
          .headers = {{"Content-Type", "application/json"},
                      {std::string(kForwardedHeader), "1"}},
          .body = request.body};
}

// Response of the home entry for the caller, without the headers that concern
// the connection between the two entries.
net::http_response MakeCallerResponse(net::http_response response,
                                      const job_id& id) {
  std::vector<net::header> relayed = {
      {std::string(kJobIdHeader), id.ToString()}};
  for (const std::string_view name : kRelayedHeaders) {
    const std::string_view value = response.Header(name);
    if (!value.empty())
      relayed.push_back({std::string(name), std::string(value)});
  }
  response.headers = std::move(relayed);
  return response;
}

}  // namespace

forwarder::forwarder(control_mailbox& events,
                     caller_registry& callers,
                     net::http_client& http,
                     peer_addresses peers)
    : events_(events),
      callers_(callers),
      http_(http),
      peers_(std::move(peers)) {}

void forwarder::Forward(const decision::forward_to_home& command) {
  const auto caller = callers_.Find(command.caller);
  if (!caller)
    return;
  const auto home = peers_.find(command.entry);
  if (home == peers_.end())
    return ReportUnreachable(command.caller, command.id);
  http_.Call(
      home->second,
      MakeForwardedRequest(caller->exchange->request(), command.id),
      caller->forward_timeout,
      [this, token = command.caller, id = command.id](net::http_reply reply) {
        OnReply(token, id, std::move(reply));
      });
}

// A lost response does not tell whether the job ran, and neither does a home
// entry that could not be reached. The core looks the job up at the agents in
// both cases.
void forwarder::OnReply(decision::caller_token caller,
                        const job_id& id,
                        net::http_reply reply) {
  const bool answered =
      reply.ok && reply.response.status != HttpStatus(request_errc::kWrongHome);
  if (!answered)
    return ReportUnreachable(caller, id);
  callers_.Respond(caller, MakeCallerResponse(std::move(reply.response), id));
}

void forwarder::ReportUnreachable(decision::caller_token caller,
                                  const job_id& id) {
  events_.PushRequired(
      decision::entry_event(decision::home_unreachable{caller, id}));
}

}  // namespace egretrack::entry
