#include "agent/agent_http.h"

#include <array>
#include <cstdint>
#include <cstdio>
#include <string>
#include <utility>

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

namespace egretrack::agent {
namespace {

namespace json = boost::json;
using net::http_exchange_ptr;
using net::http_response;

constexpr unsigned kOk = 200;
constexpr unsigned kAccepted = 202;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kNotFound = 404;
constexpr unsigned kMethodNotAllowed = 405;
constexpr unsigned kUnavailable = 503;

constexpr std::int64_t kMaxPort = 65535;

http_response JsonResponse(unsigned status, const json::object& body) {
  return {status,
          {{"Content-Type", "application/json"}},
          json::serialize(body) + "\n"};
}

std::string ToHex(incarnation value) {
  std::array<char, 17> digits{};
  std::snprintf(digits.data(), digits.size(), "%016llx",
                static_cast<unsigned long long>(value));
  return digits.data();
}

// Returns an empty string if the field is absent or not a string.
std::string GetStringField(const json::object& object, std::string_view name) {
  const json::value* field = object.if_contains(name);
  const json::string* text = field ? field->if_string() : nullptr;
  return text ? std::string(*text) : std::string();
}

// Returns 0 if the field "port" is absent or not a valid port number.
std::uint16_t GetPortField(const json::object& object) {
  const json::value* field = object.if_contains("port");
  const std::int64_t* port = field ? field->if_int64() : nullptr;
  const bool valid = port && *port > 0 && *port <= kMaxPort;
  return valid ? static_cast<std::uint16_t>(*port) : 0;
}

bool IsIpAddress(const std::string& host) {
  const bool ipv6 = host.find(':') != std::string::npos;
  const std::string address = ipv6 ? "[" + host + "]:1" : host + ":1";
  return net::tcp_address::Parse(address).has_value();
}

}  // namespace

result<decision::endpoint_announced> ParseAnnouncement(std::string_view body) {
  boost::system::error_code parse_error;
  const json::value parsed = json::parse(body, parse_error);
  if (parse_error || !parsed.is_object())
    return MakeError(errc::kParseFailed, "announcement");
  const json::object& object = parsed.get_object();
  decision::endpoint_announced announced;
  announced.endpoint = GetStringField(object, "endpoint");
  announced.address = GetStringField(object, "address");
  announced.port = GetPortField(object);
  if (!IsValidName(announced.endpoint))
    return MakeError(errc::kParseFailed,
                     "announcement field 'endpoint' is not a valid name");
  if (!IsIpAddress(announced.address))
    return MakeError(errc::kParseFailed,
                     "announcement field 'address' is not an IP address");
  if (announced.port == 0)
    return MakeError(errc::kParseFailed,
                     "announcement field 'port' is not a valid port number");
  return announced;
}

http_response StatusResponse(const decision::agent_report& report) {
  return JsonResponse(kOk, {{"role", "agent"},
                            {"id", report.agent},
                            {"incarnation", ToHex(report.agent_incarnation)},
                            {"endpoint", report.endpoint},
                            {"config_version", report.config_version},
                            {"slots", report.slots},
                            {"slots_in_use", report.slots_in_use},
                            {"tasks_held", report.tasks_held},
                            {"credits_granted", report.credits_granted},
                            {"records", report.records},
                            {"draining", report.draining}});
}

http_response ReadyResponse(bool ready) {
  return JsonResponse(ready ? kOk : kUnavailable, {{"ready", ready}});
}

http_response ErrorResponse(unsigned status,
                            std::string_view code,
                            std::string_view message) {
  return JsonResponse(status, {{"error", code}, {"message", message}});
}

const agent_http::route agent_http::kRoutes[] = {
    {"PUT", "/v1/announcement", &agent_http::Announce},
    {"DELETE", "/v1/announcement", &agent_http::Withdraw},
    {"GET", "/v1/status", &agent_http::Status},
    {"GET", "/v1/health", &agent_http::Health},
    {"GET", "/v1/ready", &agent_http::Ready},
    {"GET", "/metrics", &agent_http::Metrics},
    {"POST", "/v1/drain", &agent_http::Drain},
};

void agent_http::Handle(const http_exchange_ptr& exchange) {
  const net::http_request& request = exchange->request();
  bool path_found = false;
  for (const route& candidate : kRoutes) {
    if (candidate.path != request.path())
      continue;
    path_found = true;
    if (candidate.method == request.method) {
      (this->*candidate.handle)(exchange);
      return;
    }
  }
  exchange->Respond(
      path_found
          ? ErrorResponse(kMethodNotAllowed, "wrong_method",
                          "the method is not allowed for this path")
          : ErrorResponse(kNotFound, "not_found", "there is no such path"));
}

void agent_http::Announce(const http_exchange_ptr& exchange) {
  auto announced = ParseAnnouncement(exchange->request().body);
  if (announced) {
    EnqueueEvent(std::move(*announced), kOk, exchange);
  } else {
    exchange->Respond(ErrorResponse(kBadRequest, "invalid_announcement",
                                    announced.error().ToString()));
  }
}

void agent_http::Withdraw(const http_exchange_ptr& exchange) {
  EnqueueEvent(decision::endpoint_withdrawn{}, kOk, exchange);
}

void agent_http::Status(const http_exchange_ptr& exchange) {
  EnqueueQuery(operator_query_kind::kStatus, exchange);
}

void agent_http::Health(const http_exchange_ptr& exchange) {
  exchange->Respond(JsonResponse(kOk, {{"healthy", true}}));
}

void agent_http::Ready(const http_exchange_ptr& exchange) {
  EnqueueQuery(operator_query_kind::kReady, exchange);
}

void agent_http::Metrics(const http_exchange_ptr& exchange) {
  EnqueueQuery(operator_query_kind::kMetrics, exchange);
}

void agent_http::Drain(const http_exchange_ptr& exchange) {
  EnqueueEvent(decision::agent_drain{}, kAccepted, exchange);
}

void agent_http::EnqueueQuery(operator_query_kind kind,
                              const http_exchange_ptr& exchange) {
  if (!events_.TryPush(operator_query{kind, exchange})) {
    exchange->Respond(
        ErrorResponse(kUnavailable, "busy", "the agent's mailbox is full"));
  }
}

void agent_http::EnqueueEvent(decision::agent_event event,
                              unsigned status,
                              const http_exchange_ptr& exchange) {
  const bool enqueued = events_.TryPush(std::move(event));
  exchange->Respond(enqueued ? JsonResponse(status, {})
                             : ErrorResponse(kUnavailable, "busy",
                                             "the agent's mailbox is full"));
}

}  // namespace egretrack::agent
