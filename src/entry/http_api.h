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

// Objects of the entry process that the HTTP API uses.
struct http_api_dependencies {
  std::string entry;
  incarnation entry_incarnation{};
  control_mailbox& events;
  caller_registry& callers;
  const config_watcher& configuration;
  config_publisher& publisher;
  const std::atomic<bool>& ready;
};

// The HTTP API of an entry: converts requests into events for the control
// thread. Stateless and thread-safe.
class http_api {
 public:
  explicit http_api(http_api_dependencies dependencies);

  void Handle(const net::http_exchange_ptr& exchange);

 private:
  // `segment` is the path segment that matches the placeholder {}.
  using handler = void (http_api::*)(const net::http_exchange_ptr& exchange,
                                     std::string_view segment);

  struct route {
    std::string_view method;
    std::string_view pattern;
    handler handle;
  };
  static std::span<const route> Routes();

  void ReserveIds(const net::http_exchange_ptr& exchange, std::string_view);
  void SubmitWithoutId(const net::http_exchange_ptr& exchange,
                       std::string_view);
  void SubmitWithId(const net::http_exchange_ptr& exchange,
                    std::string_view id);
  void Inquire(const net::http_exchange_ptr& exchange, std::string_view id);
  void Cancel(const net::http_exchange_ptr& exchange, std::string_view id);
  void GetConfig(const net::http_exchange_ptr& exchange, std::string_view);
  void GetConfigHistory(const net::http_exchange_ptr& exchange,
                        std::string_view);
  void PutConfig(const net::http_exchange_ptr& exchange, std::string_view);
  void GetStatus(const net::http_exchange_ptr& exchange, std::string_view);
  void DrainEntry(const net::http_exchange_ptr& exchange, std::string_view);
  void DrainAgent(const net::http_exchange_ptr& exchange,
                  std::string_view agent);
  void GetHealth(const net::http_exchange_ptr& exchange, std::string_view);
  void GetReady(const net::http_exchange_ptr& exchange, std::string_view);
  void GetMetrics(const net::http_exchange_ptr& exchange, std::string_view);
  void GetBurnReport(const net::http_exchange_ptr& exchange, std::string_view);

  // Parses the job id of a path. If it is invalid, or the request was forwarded
  // to a process that is not the home entry, responds and returns nullopt.
  std::optional<job_id> ParseIdOrRespond(const net::http_exchange_ptr& exchange,
                                         std::string_view text) const;
  // Parses the submission in the body. If it is invalid, responds with the
  // error and the header of `id` and returns nullopt.
  std::optional<decision::submission> ParseSubmissionOrRespond(
      const net::http_exchange_ptr& exchange,
      const std::optional<job_id>& id) const;
  milliseconds ForwardTimeout(const decision::submission& job) const;

  // Registers the caller and pushes the event that `make_event` builds from its
  // token to the control thread. If the mailbox is full, responds with
  // `overload_response`.
  template <typename MakeEvent>
  void PushEvent(waiting_caller caller,
                 net::http_response overload_response,
                 MakeEvent make_event);
  // The same with an overload response whose "not_run" is false.
  template <typename MakeEvent>
  void PushEvent(waiting_caller caller, MakeEvent make_event);
  // Pushes caller_gone if the caller closes its connection before the response.
  void ReportDisconnect(decision::caller_token token,
                        const net::http_exchange_ptr& exchange);

  const http_api_dependencies dependencies_;
};

}  // namespace egretrack::entry

#endif  // EGRETRACK_ENTRY_HTTP_API_H_
