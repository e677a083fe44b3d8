#ifndef EGRETRACK_AGENT_AGENT_HTTP_H_
#define EGRETRACK_AGENT_AGENT_HTTP_H_

#include <string_view>

#include "agent/agent_event.h"
#include "egretrack/base/result.h"
#include "egretrack/decision/agent_core.h"
#include "egretrack/net/http.h"

namespace egretrack::agent {

// Parses the JSON body of an announcement. Errors: errc::kParseFailed, with the
// invalid field in the detail.
result<decision::endpoint_announced> ParseAnnouncement(std::string_view body);

net::http_response StatusResponse(const decision::agent_report& report);
net::http_response ReadyResponse(bool ready);
// `code` is a machine-readable error code of the API, such as "not_found".
net::http_response ErrorResponse(unsigned status,
                                 std::string_view code,
                                 std::string_view message);

// HTTP API of the agent: routes requests and passes events to the control
// thread. Called on traffic threads.
class agent_http {
 public:
  explicit agent_http(control_mailbox& events) : events_(events) {}

  void Handle(const net::http_exchange_ptr& exchange);

 private:
  using handler = void (agent_http::*)(const net::http_exchange_ptr&);
  struct route {
    std::string_view method;
    std::string_view path;
    handler handle;
  };
  static const route kRoutes[];

  void Announce(const net::http_exchange_ptr& exchange);
  void Withdraw(const net::http_exchange_ptr& exchange);
  void Status(const net::http_exchange_ptr& exchange);
  void Health(const net::http_exchange_ptr& exchange);
  void Ready(const net::http_exchange_ptr& exchange);
  void Metrics(const net::http_exchange_ptr& exchange);
  void Drain(const net::http_exchange_ptr& exchange);

  void EnqueueQuery(operator_query_kind kind,
                    const net::http_exchange_ptr& exchange);
  // Responds with `status` if the event was enqueued, or with 503 if the
  // mailbox is full.
  void EnqueueEvent(decision::agent_event event,
                    unsigned status,
                    const net::http_exchange_ptr& exchange);

  control_mailbox& events_;
};

}  // namespace egretrack::agent

#endif  // EGRETRACK_AGENT_AGENT_HTTP_H_
