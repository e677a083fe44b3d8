#ifndef EGRETRACK_JOB_AGENT_WORKER_CLIENT_H_
#define EGRETRACK_JOB_AGENT_WORKER_CLIENT_H_

#include <functional>
#include <memory>

#include "egretrack/net/http.h"
#include "egretrack/scheduler/run_supervisor.h"

namespace egretrack::job_agent {

// Sends the supervisor's calls to the worker and passes the outcomes back as
// events.
class worker_client {
 public:
  // Receives the outcome of a call. Called on a traffic thread.
  using event_sink = std::function<void(scheduler::supervisor_event)>;

  explicit worker_client(event_sink on_event);

  void Start(const scheduler::start_run& command);
  void Stop(const scheduler::stop_run& command);
  void Poll(const scheduler::poll_worker& command);

 private:
  // Makes an event of a reply and the time that the call took.
  using outcome_decoder =
      std::function<scheduler::supervisor_event(const net::http_reply& reply,
                                                microseconds call_time)>;

  void Call(const scheduler::worker_call_target& target,
            net::http_request request,
            net::call_limits limits,
            outcome_decoder decode);

  const event_sink on_event_;
  const std::unique_ptr<net::http_client> client_;
};

}  // namespace egretrack::job_agent

#endif  // EGRETRACK_JOB_AGENT_WORKER_CLIENT_H_
