#include "entry/forwarder.h"

#include <array>
#include <utility>

#include "entry/request_error.h"

namespace egretrack::entry {
namespace {

constexpr std::array<std::string_view, 2> kKept = {"Content-Type",
                                                   "Retry-After"};

// A job without an id names its home only after its key was looked up; there
// it is a resubmission.
net::http_request MakeForward(const net::http_request& request,
                              const job_id& id) {
  const bool fresh = request.method == "POST";
  return {.method = fresh ? "PUT" : request.method,
          .target = "/v1/jobs/" + id.ToString(),
          .headers = {{"Content-Type", "application/json"},
                      {std::string(kForwardedHeader), "1"}},
          .body = request.body};
}

// The home's response for our caller, without what concerns the connection
// between us and the home.
net::http_response ToCaller(net::http_response response, const job_id& id) {
  std::vector<net::header> kept = {{std::string(kJobIdHeader), id.ToString()}};
  for (const std::string_view name : kKept) {
    const std::string_view value = response.Header(name);
    if (!value.empty())
      kept.push_back({std::string(name), std::string(value)});
  }
  response.headers = std::move(kept);
  return response;
}

}  // namespace

forwarder::forwarder(control_mailbox& events,
                     caller_registry& waiting,
                     net::http_client& http,
                     peer_addresses peers)
    : events_(events),
      waiting_(waiting),
      http_(http),
      peers_(std::move(peers)) {}

void forwarder::Forward(const decision::forward_to_home& command) {
  const auto caller = waiting_.Find(command.caller);
  if (!caller)
    return;
  const auto home = peers_.find(command.entry);
  if (home == peers_.end())
    return ReportUnreachable(command.caller, command.id);
  http_.Call(
      home->second, MakeForward(caller->exchange->request(), command.id),
      caller->forward_timeout,
      [this, token = command.caller, id = command.id](net::http_reply reply) {
        OnReply(token, id, std::move(reply));
      });
}

// A lost answer says nothing about the job, no more than a home that was not
// reached: the core looks the job up at the agents in both cases.
void forwarder::OnReply(decision::caller_token caller,
                        const job_id& id,
                        net::http_reply reply) {
  const bool answered =
      reply.ok && reply.response.status != HttpStatus(request_errc::kWrongHome);
  if (!answered)
    return ReportUnreachable(caller, id);
  waiting_.Respond(caller, ToCaller(std::move(reply.response), id));
}

void forwarder::ReportUnreachable(decision::caller_token caller,
                                  const job_id& id) {
  events_.PushRequired(
      decision::entry_event(decision::home_unreachable{caller, id}));
}

}  // namespace egretrack::entry
