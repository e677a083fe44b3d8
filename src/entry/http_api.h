#ifndef EGRETRACK_ENTRY_HTTP_API_H_
#define EGRETRACK_ENTRY_HTTP_API_H_

#include <atomic>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "egretrack/base/ids.h"
#include "egretrack/net/http.h"
#include "entry/caller_registry.h"
#include "entry/config_publisher.h"
#include "entry/config_watcher.h"
#include "entry/control_event.h"

namespace egretrack::entry {

// What the front needs from the rest of the process.
struct http_api_services {
  std::string entry;
  incarnation entry_incarnation{};
  control_mailbox& events;
  caller_registry& waiting;
  const config_watcher& configuration;
  config_publisher& publisher;
  const std::atomic<bool>& ready;
};

// The HTTP interface of an entry: turns requests into events for the control
// thread. Holds no state; safe from any thread.
class http_api {
 public:
  explicit http_api(http_api_services services);

  void Handle(const net::http_exchange_ptr& exchange);

 private:
  // `subject` is the part of the path that stands for {}.
  using handler = void (http_api::*)(const net::http_exchange_ptr& exchange,
                                     std::string_view subject);

  struct route {
    std::string_view method;
    std::string_view pattern;
    handler handle;
  };
  static std::span<const route> Routes();

  void ReserveIds(const net::http_exchange_ptr& exchange, std::string_view);
  void SubmitNew(const net::http_exchange_ptr& exchange, std::string_view);
  void Submit(const net::http_exchange_ptr& exchange, std::string_view id);
  void Inquire(const net::http_exchange_ptr& exchange, std::string_view id);
  void Cancel(const net::http_exchange_ptr& exchange, std::string_view id);
  void GetConfig(const net::http_exchange_ptr& exchange, std::string_view);
  void GetHistory(const net::http_exchange_ptr& exchange, std::string_view);
  void PutConfig(const net::http_exchange_ptr& exchange, std::string_view);
  void GetStatus(const net::http_exchange_ptr& exchange, std::string_view);
  void DrainEntry(const net::http_exchange_ptr& exchange, std::string_view);
  void DrainAgent(const net::http_exchange_ptr& exchange,
                  std::string_view agent);
  void GetHealth(const net::http_exchange_ptr& exchange, std::string_view);
  void GetReady(const net::http_exchange_ptr& exchange, std::string_view);
  void GetMetrics(const net::http_exchange_ptr& exchange, std::string_view);
  void GetBurn(const net::http_exchange_ptr& exchange, std::string_view);

  // The id in a path, if this process may act on the request; otherwise the
  // exchange is answered.
  std::optional<job_id> AcceptId(const net::http_exchange_ptr& exchange,
                                 std::string_view text) const;
  // The submission in the body; otherwise the exchange is answered.
  std::optional<decision::submission> AcceptSubmission(
      const net::http_exchange_ptr& exchange,
      const std::optional<job_id>& id) const;
  milliseconds ForwardTimeout(const decision::submission& job) const;

  // Registers the caller and passes the event that `make` builds with its
  // token on to the control thread. `overloaded` answers when that is full.
  template <typename Make>
  void Ask(waiting_caller caller, net::http_response overloaded, Make make);
  template <typename Make>
  void Ask(waiting_caller caller, Make make);
  void WatchCaller(decision::caller_token token,
                   const net::http_exchange_ptr& exchange);

  const http_api_services services_;
};

}  // namespace egretrack::entry

#endif  // EGRETRACK_ENTRY_HTTP_API_H_
