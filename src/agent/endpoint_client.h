#ifndef EGRETRACK_AGENT_ENDPOINT_CLIENT_H_
#define EGRETRACK_AGENT_ENDPOINT_CLIENT_H_

#include <functional>
#include <memory>

#include "egretrack/base/time.h"
#include "egretrack/decision/agent_core.h"
#include "egretrack/net/http.h"

namespace egretrack::agent {

// Task state and reason that the reply to an endpoint call proves.
struct call_outcome {
  wire::task_state state = wire::task_state::kCut;
  wire::task_reason reason = wire::task_reason::kEndpointCut;

  bool operator==(const call_outcome&) const = default;
};
call_outcome ClassifyReply(const net::http_reply& reply);

// Runs tasks on the endpoint by HTTP calls.
class endpoint_client {
 public:
  // Called once for each task, on any thread.
  using ended_callback = std::function<void(decision::task_ended)>;

  endpoint_client(std::unique_ptr<net::http_client> client,
                  milliseconds task_timeout,
                  ended_callback on_ended);

  void Start(decision::start_task task);

 private:
  const milliseconds task_timeout_;
  const ended_callback on_ended_;
  // Declared last, so that its threads end before the members that they use are
  // destroyed.
  const std::unique_ptr<net::http_client> client_;
};

}  // namespace egretrack::agent

#endif  // EGRETRACK_AGENT_ENDPOINT_CLIENT_H_
