#ifndef EGRETRACK_AGENT_ENDPOINT_CALLER_H_
#define EGRETRACK_AGENT_ENDPOINT_CALLER_H_

#include <functional>
#include <memory>

#include "egretrack/base/time.h"
#include "egretrack/decision/agent_core.h"
#include "egretrack/net/http.h"

namespace egretrack::agent {

// What the reply to a call says about the task; true in every case.
struct call_outcome {
  wire::task_state state = wire::task_state::kCut;
  wire::task_reason reason = wire::task_reason::kEndpointCut;

  bool operator==(const call_outcome&) const = default;
};
call_outcome Judge(const net::http_reply& reply);

// Hands tasks to the endpoint over HTTP.
class endpoint_caller {
 public:
  // `ended` is called once for each task, on any thread.
  using on_ended = std::function<void(decision::task_ended)>;

  endpoint_caller(std::unique_ptr<net::http_client> client,
                  milliseconds task_timeout,
                  on_ended ended);

  void Start(decision::start_task task);

 private:
  const milliseconds task_timeout_;
  const on_ended ended_;
  // Last, because its threads use the members above.
  const std::unique_ptr<net::http_client> client_;
};

}  // namespace egretrack::agent

#endif  // EGRETRACK_AGENT_ENDPOINT_CALLER_H_
