#ifndef EGRETRACK_AGENT_AGENT_HTTP_H_
#define EGRETRACK_AGENT_AGENT_HTTP_H_

#include <string_view>

#include "agent/agent_event.h"
#include "egretrack/base/result.h"
#include "egretrack/decision/agent_core.h"
#include "egretrack/net/http.h"

namespace egretrack::agent {

// Errors: errc::kParseFailed, naming the field that is wrong.
result<decision::endpoint_announced> ParseAnnouncement(std::string_view body);

net::http_response StatusResponse(const decision::agent_report& report);
net::http_response ReadyResponse(bool ready);
// `code` is a stable name such as "not_found".
net::http_response ErrorResponse(unsigned status,
                                 std::string_view code,
                                 std::string_view message);

// The HTTP interface of an agent: turns requests into events for the control
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

  void Ask(question asked, const net::http_exchange_ptr& exchange);
  // Responds that the event was taken, or that the agent is too busy.
  void Accept(decision::agent_event event,
              unsigned status,
              const net::http_exchange_ptr& exchange);

  control_mailbox& events_;
};

}  // namespace egretrack::agent

#endif  // EGRETRACK_AGENT_AGENT_HTTP_H_
