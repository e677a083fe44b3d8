#include "job_agent/worker_client.h"

#include <utility>

#include "platform/worker_api.h"

namespace egretrack::job_agent {
namespace {

// The system of the same machine accepts the connection, however busy the
// worker is.
constexpr milliseconds kConnectTimeout{20};
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
                                        .connect_timeout = kConnectTimeout,
                                        .max_header_bytes = kMaxHeaderBytes})) {
}

void worker_client::Start(const scheduler::start_run& command) {
  Call(command.target, platform::EncodeStart(command), {command.time_limit, {}},
       [id = command.id](const net::http_reply& reply, microseconds call_time) {
         auto answer = platform::DecodeStart(id, reply);
         answer.call_time = call_time;
         return answer;
       });
}

void worker_client::Stop(const scheduler::stop_run& command) {
  Call(command.target, platform::EncodeStop(command), {command.time_limit, {}},
       [id = command.id](const net::http_reply& reply, microseconds call_time) {
         auto answer = platform::DecodeStop(id, reply);
         answer.call_time = call_time;
         return answer;
       });
}

void worker_client::Poll(const scheduler::poll_worker& command) {
  Call(command.target, platform::EncodePoll(command),
       {command.wait + command.time_limit, command.wait},
       [](const net::http_reply& reply, microseconds call_time) {
         auto answer = platform::DecodePoll(reply);
         answer.call_time = call_time;
         return answer;
       });
}

void worker_client::Call(const scheduler::worker_call_target& target,
                         net::http_request request,
                         net::call_limits limits,
                         outcome_decoder decode) {
  const auto address = net::tcp_address::Parse(target.address);
  if (!address) {
    net::http_reply reply;
    reply.failure = {address.error(), net::call_stage::kNotSent};
    on_event_(decode(reply, microseconds(0)));
    return;
  }
  client_->Call(*address, std::move(request), limits,
                [this, decode = std::move(decode),
                 sent = monotonic_clock::now()](const net::http_reply& reply) {
                  on_event_(decode(reply, monotonic_clock::now() - sent));
                });
}

}  // namespace egretrack::job_agent
