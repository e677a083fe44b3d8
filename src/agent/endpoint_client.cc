#include "agent/endpoint_client.h"

#include <string>
#include <utility>

namespace egretrack::agent {
namespace {

using decision::start_task;
using decision::task_ended;
using wire::task_reason;
using wire::task_state;

constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusUnavailable = 503;
constexpr call_outcome kNotRun{task_state::kRefused,
                               task_reason::kEndpointRefused};

net::http_request ToRequest(start_task& task) {
  net::http_request request;
  request.method = "POST";
  request.target = "/v1/run";
  request.headers = {{"Egretrack-Job", task.job.ToString()},
                     {"Egretrack-Task", std::to_string(task.task)},
                     {"Egretrack-Kind", std::move(task.kind)}};
  request.body = std::move(task.payload);
  return request;
}

}  // namespace

call_outcome ClassifyReply(const net::http_reply& reply) {
  if (!reply.ok) {
    return reply.failure.stage == net::call_stage::kNotSent
               ? kNotRun
               : call_outcome{task_state::kCut, task_reason::kEndpointCut};
  }
  if (reply.response.status == kStatusOk)
    return {task_state::kFinished, task_reason::kNone};
  if (reply.response.status == kStatusUnavailable &&
      reply.response.Header("Egretrack-Not-Run") == "true") {
    return kNotRun;
  }
  return {task_state::kFailed, task_reason::kEndpointFailed};
}

endpoint_client::endpoint_client(std::unique_ptr<net::http_client> client,
                                 milliseconds task_timeout,
                                 ended_callback on_ended)
    : task_timeout_(task_timeout),
      on_ended_(std::move(on_ended)),
      client_(std::move(client)) {}

void endpoint_client::Start(start_task task) {
  task_ended ended;
  ended.job = task.job;
  ended.task = task.task;
  // The process may have been suspended after the core decided to start the
  // task, and a task must not start after start_before.
  if (monotonic_clock::now() >= task.start_before) {
    ended.state = task_state::kRefused;
    ended.reason = task_reason::kStartByPassed;
    on_ended_(std::move(ended));
    return;
  }
  const net::tcp_address address{task.address, task.port};
  client_->Call(address, ToRequest(task), task_timeout_,
                [this, ended](net::http_reply reply) mutable {
                  const call_outcome outcome = ClassifyReply(reply);
                  ended.state = outcome.state;
                  ended.reason = outcome.reason;
                  if (outcome.state == task_state::kFinished)
                    ended.result = std::move(reply.response.body);
                  on_ended_(std::move(ended));
                });
}

}  // namespace egretrack::agent
