#include "job_agent/worker_caller.h"

#include <utility>

#include "platform/worker_api.h"

namespace egretrack::job_agent {
namespace {

// The worker answers an order within a millisecond or two, on the same
// machine; what takes much longer is lost or carried out late. Each order that
// waits holds up the next starts.
constexpr milliseconds kOrderTimeout{20};
// On top of the time that a look may wait for an end. Until a look is given up,
// no end is seen and no room becomes free.
constexpr milliseconds kLookSlack{20};
// One for looks, eight for starts, one for stops.
constexpr std::size_t kConnections = 10;

}  // namespace

worker_caller::worker_caller(on_answer answered)
    : answered_(std::move(answered)),
      client_(net::http_client::Create({.connections_per_address = kConnections,
                                        .connect_timeout = kOrderTimeout})) {}

void worker_caller::Start(const scheduler::start_run& order) {
  Call(order.target, platform::EncodeStart(order), kOrderTimeout,
       [id = order.id](const net::http_reply& reply) {
         return scheduler::start_answered{
             id, platform::DecodeWorkerCallResult(reply)};
       });
}

void worker_caller::Stop(const scheduler::stop_run& order) {
  Call(order.target, platform::EncodeStop(order), kOrderTimeout,
       [id = order.id](const net::http_reply& reply) {
         return scheduler::stop_answered{
             id, platform::DecodeWorkerCallResult(reply)};
       });
}

void worker_caller::Look(const scheduler::poll_worker& order) {
  Call(order.target, platform::EncodePoll(order), order.wait + kLookSlack,
       &platform::DecodePoll);
}

void worker_caller::Call(
    const scheduler::worker_call_target& target,
    net::http_request request,
    milliseconds timeout,
    std::function<scheduler::supervisor_event(const net::http_reply&)> decode) {
  const auto address = net::tcp_address::Parse(target.address);
  if (!address) {
    net::http_reply reply;
    reply.failure = {address.error(), net::call_stage::kNotSent};
    answered_(decode(reply));
    return;
  }
  client_->Call(
      *address, std::move(request), timeout,
      [this, decode = std::move(decode)](const net::http_reply& reply) {
        answered_(decode(reply));
      });
}

}  // namespace egretrack::job_agent
