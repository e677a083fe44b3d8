#include "job_agent/worker_client.h"

#include <utility>

#include "platform/worker_api.h"

namespace egretrack::job_agent {
namespace {

// The worker runs on the same machine and answers a call within 1 to 2 ms. A
// call that takes much longer is lost or will take effect late, and each
// pending start delays the next ones.
constexpr milliseconds kCallTimeout{20};
// Added to the wait time of a poll. Until an unanswered poll times out, no run
// ends are seen and no resources become free.
constexpr milliseconds kPollTimeoutMargin{20};
// One for polls, eight for starts, one for stops.
constexpr std::size_t kConnections = 10;
// A poll lists the runs of one worker, some hundred at most.
constexpr std::size_t kMaxResponseBytes = 1U << 20U;
constexpr std::uint32_t kMaxHeaderBytes = 16384;

}  // namespace

worker_client::worker_client(event_sink on_event)
    : on_event_(std::move(on_event)),
      client_(net::http_client::Create({.connections_per_address = kConnections,
                                        .max_response_bytes = kMaxResponseBytes,
                                        .connect_timeout = kCallTimeout,
                                        .max_header_bytes = kMaxHeaderBytes})) {
}

void worker_client::Start(const scheduler::start_run& command) {
  Call(command.target, platform::EncodeStart(command), kCallTimeout,
       [id = command.id](const net::http_reply& reply) {
         return platform::DecodeStart(id, reply);
       });
}

void worker_client::Stop(const scheduler::stop_run& command) {
  Call(command.target, platform::EncodeStop(command), kCallTimeout,
       [id = command.id](const net::http_reply& reply) {
         return platform::DecodeStop(id, reply);
       });
}

void worker_client::Poll(const scheduler::poll_worker& command) {
  Call(command.target, platform::EncodePoll(command),
       command.wait + kPollTimeoutMargin, &platform::DecodePoll);
}

void worker_client::Call(
    const scheduler::worker_call_target& target,
    net::http_request request,
    milliseconds timeout,
    std::function<scheduler::supervisor_event(const net::http_reply&)> decode) {
  const auto address = net::tcp_address::Parse(target.address);
  if (!address) {
    net::http_reply reply;
    reply.failure = {address.error(), net::call_stage::kNotSent};
    on_event_(decode(reply));
    return;
  }
  client_->Call(
      *address, std::move(request), timeout,
      [this, decode = std::move(decode)](const net::http_reply& reply) {
        on_event_(decode(reply));
      });
}

}  // namespace egretrack::job_agent
