#ifndef EGRETRACK_JOB_AGENT_WORKER_CALLER_H_
#define EGRETRACK_JOB_AGENT_WORKER_CALLER_H_

#include <functional>
#include <memory>

#include "egretrack/net/http.h"
#include "egretrack/scheduler/run_supervisor.h"

namespace egretrack::job_agent {

// Carries the supervisor's orders to the worker and its answers back.
class worker_caller {
 public:
  // Called on a traffic thread.
  using on_answer = std::function<void(scheduler::supervisor_event)>;

  explicit worker_caller(on_answer answered);

  void Start(const scheduler::start_run& order);
  void Stop(const scheduler::stop_run& order);
  void Look(const scheduler::poll_worker& order);

 private:
  void Call(const scheduler::worker_call_target& target,
            net::http_request request,
            milliseconds timeout,
            std::function<scheduler::supervisor_event(const net::http_reply&)>
                decode);

  const on_answer answered_;
  const std::unique_ptr<net::http_client> client_;
};

}  // namespace egretrack::job_agent

#endif  // EGRETRACK_JOB_AGENT_WORKER_CALLER_H_
