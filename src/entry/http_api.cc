#include "entry/http_api.h"

#include <array>
#include <charconv>
#include <utility>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "entry/forwarder.h"
#include "entry/json_codec.h"
#include "entry/key_rows.h"
#include "entry/request_error.h"
#include "entry/route_match.h"

namespace egretrack::entry {
namespace {

using decision::caller_token;
using decision::entry_event;

constexpr std::uint32_t kMaxReserve = 1000;
constexpr std::uint32_t kDefaultVersions = 100;
constexpr std::uint32_t kMaxVersions = 1000;
// Its successor is still a number.
constexpr std::uint64_t kMaxVersion = ~std::uint64_t{0} - 1;
// For a submission of an unknown kind, which its home refuses at once.
constexpr milliseconds kDefaultDeadline{30000};
// On top of the deadline, at which the home answers at the latest.
constexpr milliseconds kForwardMargin{1000};
constexpr milliseconds kQuestionTimeout{2000};

struct burn_format {
  std::string_view name;
  report_kind kind;
};
constexpr std::array kBurnFormats = {
    burn_format{"", report_kind::kBurnJson},
    burn_format{"json", report_kind::kBurnJson},
    burn_format{"text", report_kind::kBurnText},
    burn_format{"svg", report_kind::kBurnSvg},
};

// The number in `text`, or nothing when it is none or out of range.
template <typename Number>
std::optional<Number> ParseNumber(std::string_view text,
                                  Number lowest,
                                  Number highest) {
  Number number = 0;
  const char* const last = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), last, number);
  const bool whole = parsed.ec == std::errc() && parsed.ptr == last;
  if (!whole || number < lowest || number > highest)
    return std::nullopt;
  return number;
}

template <typename Number>
std::optional<Number> QueryNumber(const net::http_request& request,
                                  std::string_view name,
                                  Number otherwise,
                                  Number lowest,
                                  Number highest) {
  const std::string text = request.Query(name);
  if (text.empty())
    return otherwise;
  return ParseNumber(text, lowest, highest);
}

void RespondInvalid(const net::http_exchange_ptr& exchange,
                    std::string_view parameter) {
  exchange->Respond(
      MakeErrorResponse(request_errc::kInvalidParameter, parameter));
}

net::http_response WithId(net::http_response response,
                          const std::optional<job_id>& id) {
  if (id)
    response.headers.push_back({std::string(kJobIdHeader), id->ToString()});
  return response;
}

// Answer of a full control thread. Only for a job that can have no earlier
// submission does it say that nothing ran.
net::http_response MakeOverloaded(bool not_run) {
  net::http_response response = MakeErrorResponse(
      request_errc::kOverloaded, "the control thread has no room");
  response.headers.push_back({"Retry-After", "1"});
  const boost::json::object body = {
      {"error", "overloaded"},
      {"message", "the control thread has no room"},
      {"not_run", not_run}};
  response.body = boost::json::serialize(body);
  return response;
}

net::http_response MakePlainOk() {
  return {200, {{"Content-Type", "application/json"}}, R"({"ok":true})"};
}

}  // namespace

std::span<const http_api::route> http_api::Routes() {
  static constexpr std::array kRoutes = {
      route{"POST", "/v1/jobs/reserve", &http_api::ReserveIds},
      route{"POST", "/v1/jobs", &http_api::SubmitNew},
      route{"PUT", "/v1/jobs/{}", &http_api::Submit},
      route{"GET", "/v1/jobs/{}", &http_api::Inquire},
      route{"DELETE", "/v1/jobs/{}", &http_api::Cancel},
      route{"GET", "/v1/config", &http_api::GetConfig},
      route{"PUT", "/v1/config", &http_api::PutConfig},
      route{"GET", "/v1/config/history", &http_api::GetHistory},
      route{"GET", "/v1/status", &http_api::GetStatus},
      route{"POST", "/v1/drain", &http_api::DrainEntry},
      route{"POST", "/v1/agents/{}/drain", &http_api::DrainAgent},
      route{"GET", "/v1/health", &http_api::GetHealth},
      route{"GET", "/v1/ready", &http_api::GetReady},
      route{"GET", "/metrics", &http_api::GetMetrics},
      route{"GET", "/v1/report/burn", &http_api::GetBurn},
  };
  return kRoutes;
}

http_api::http_api(http_api_services services)
    : services_(std::move(services)) {}

void http_api::Handle(const net::http_exchange_ptr& exchange) {
  const net::http_request& request = exchange->request();
  std::string allowed;
  for (const route& candidate : Routes()) {
    const auto subject = MatchPath(candidate.pattern, request.path());
    if (!subject)
      continue;
    if (candidate.method == request.method)
      return (this->*candidate.handle)(exchange, *subject);
    allowed.append(allowed.empty() ? "" : ", ").append(candidate.method);
  }
  if (allowed.empty()) {
    return exchange->Respond(
        MakeErrorResponse(request_errc::kUnknownPath, request.path()));
  }
  auto response = MakeErrorResponse(request_errc::kWrongMethod, request.path());
  response.headers.push_back({"Allow", std::move(allowed)});
  exchange->Respond(std::move(response));
}

// ---- Jobs -----------------------------------------------------------------

void http_api::ReserveIds(const net::http_exchange_ptr& exchange,
                          std::string_view /*subject*/) {
  const auto count = QueryNumber<std::uint32_t>(exchange->request(), "count", 1,
                                                1, kMaxReserve);
  if (!count)
    return RespondInvalid(exchange, "count is not a number from 1 to 1000");
  Ask({exchange}, [&](caller_token token) {
    return decision::reserve_request{token, *count};
  });
}

void http_api::SubmitNew(const net::http_exchange_ptr& exchange,
                         std::string_view /*subject*/) {
  std::string key(exchange->request().Header("Idempotency-Key"));
  if (!key.empty() && !IsValidKey(key))
    return RespondInvalid(exchange, "Idempotency-Key");
  auto job = AcceptSubmission(exchange, std::nullopt);
  if (!job)
    return;
  const bool first = key.empty();
  Ask({exchange, job_question::kSubmit, ForwardTimeout(*job)},
      MakeOverloaded(first), [&](caller_token token) {
        return decision::submit_request{token, std::nullopt, std::move(*job),
                                        false, std::move(key)};
      });
}

void http_api::Submit(const net::http_exchange_ptr& exchange,
                      std::string_view id) {
  const auto accepted = AcceptId(exchange, id);
  if (!accepted)
    return;
  auto job = AcceptSubmission(exchange, accepted);
  if (!job)
    return;
  const bool forwarded = exchange->request().Header(kForwardedHeader) == "1";
  Ask({exchange, job_question::kSubmit, ForwardTimeout(*job)},
      WithId(MakeOverloaded(false), accepted), [&](caller_token token) {
        return decision::submit_request{
            token, accepted, std::move(*job), forwarded, {}};
      });
}

void http_api::Inquire(const net::http_exchange_ptr& exchange,
                       std::string_view id) {
  const auto accepted = AcceptId(exchange, id);
  if (!accepted)
    return;
  const bool forwarded = exchange->request().Header(kForwardedHeader) == "1";
  Ask({exchange, job_question::kInquire, kQuestionTimeout},
      WithId(MakeOverloaded(false), accepted), [&](caller_token token) {
        return decision::job_inquiry{token, *accepted, forwarded};
      });
}

void http_api::Cancel(const net::http_exchange_ptr& exchange,
                      std::string_view id) {
  const auto accepted = AcceptId(exchange, id);
  if (!accepted)
    return;
  const bool forwarded = exchange->request().Header(kForwardedHeader) == "1";
  Ask({exchange, job_question::kCancel, kQuestionTimeout},
      WithId(MakeOverloaded(false), accepted), [&](caller_token token) {
        return decision::cancel_request{token, *accepted, forwarded};
      });
}

std::optional<job_id> http_api::AcceptId(const net::http_exchange_ptr& exchange,
                                         std::string_view text) const {
  const auto parsed = job_id::Parse(text);
  if (!parsed) {
    exchange->Respond(MakeErrorResponse(request_errc::kInvalidId, text));
    return std::nullopt;
  }
  const bool ours = parsed->entry == services_.entry &&
                    parsed->home == services_.entry_incarnation;
  // A second hop is never made: the sender takes us for the home.
  if (!ours && exchange->request().Header(kForwardedHeader) == "1") {
    exchange->Respond(
        WithId(MakeErrorResponse(request_errc::kWrongHome, text), *parsed));
    return std::nullopt;
  }
  return *parsed;
}

std::optional<decision::submission> http_api::AcceptSubmission(
    const net::http_exchange_ptr& exchange,
    const std::optional<job_id>& id) const {
  auto parsed = ParseSubmission(exchange->request().body);
  if (parsed)
    return std::move(*parsed);
  exchange->Respond(WithId(MakeErrorResponse(parsed.error()), id));
  return std::nullopt;
}

milliseconds http_api::ForwardTimeout(const decision::submission& job) const {
  if (job.deadline)
    return *job.deadline + kForwardMargin;
  const auto configuration = services_.configuration.current();
  const objects::request_kind* const kind =
      configuration ? objects::FindKind(configuration->objects, job.kind)
                    : nullptr;
  return (kind ? kind->deadline : kDefaultDeadline) + kForwardMargin;
}

// ---- Configuration --------------------------------------------------------

void http_api::GetConfig(const net::http_exchange_ptr& exchange,
                         std::string_view /*subject*/) {
  const auto held = services_.configuration.current();
  if (!held) {
    return exchange->Respond(MakeErrorResponse(
        request_errc::kNotReady, "no configuration is known yet"));
  }
  exchange->Respond({200,
                     {{"Content-Type", "application/json"}},
                     EncodeRecord({held->version, {}, held->document})});
}

void http_api::GetHistory(const net::http_exchange_ptr& exchange,
                          std::string_view /*subject*/) {
  const net::http_request& request = exchange->request();
  const auto version =
      QueryNumber<std::uint64_t>(request, "version", 0, 1, kMaxVersion);
  const auto after =
      QueryNumber<std::uint64_t>(request, "after", 0, 0, kMaxVersion);
  const auto limit = QueryNumber<std::uint32_t>(
      request, "limit", kDefaultVersions, 1, kMaxVersions);
  if (!version || !after || !limit)
    return RespondInvalid(exchange, "version, after or limit is no number");
  if (*version != 0)
    return services_.publisher.ReadVersion(*version, exchange);
  services_.publisher.ListVersions(*after, *limit, exchange);
}

void http_api::PutConfig(const net::http_exchange_ptr& exchange,
                         std::string_view /*subject*/) {
  const net::http_request& request = exchange->request();
  const auto base =
      ParseNumber<std::uint64_t>(request.Query("base"), 0, kMaxVersion);
  if (!base)
    return RespondInvalid(exchange, "base is not a version");
  std::string publication = request.Query("publication");
  if (!IsValidKey(publication))
    return RespondInvalid(exchange, "publication is not an id");
  services_.publisher.Publish({*base, std::move(publication), request.body},
                              exchange);
}

// ---- Operation ------------------------------------------------------------

void http_api::GetStatus(const net::http_exchange_ptr& exchange,
                         std::string_view /*subject*/) {
  Ask({exchange},
      [](caller_token token) { return decision::status_request{token}; });
}

void http_api::DrainEntry(const net::http_exchange_ptr& exchange,
                          std::string_view /*subject*/) {
  services_.events.PushRequired(entry_event(decision::drain_entry{}));
  exchange->Respond(
      {202, {{"Content-Type", "application/json"}}, R"({"draining":true})"});
}

void http_api::DrainAgent(const net::http_exchange_ptr& exchange,
                          std::string_view agent) {
  Ask({exchange}, [&](caller_token token) {
    return decision::drain_agent{token, std::string(agent)};
  });
}

void http_api::GetHealth(const net::http_exchange_ptr& exchange,
                         std::string_view /*subject*/) {
  exchange->Respond(MakePlainOk());
}

void http_api::GetReady(const net::http_exchange_ptr& exchange,
                        std::string_view /*subject*/) {
  if (services_.ready)
    return exchange->Respond(MakePlainOk());
  exchange->Respond(
      MakeErrorResponse(request_errc::kNotReady, "entry " + services_.entry));
}

void http_api::GetMetrics(const net::http_exchange_ptr& exchange,
                          std::string_view /*subject*/) {
  Ask({exchange}, [](caller_token token) {
    return report_request{token, report_kind::kMetrics};
  });
}

void http_api::GetBurn(const net::http_exchange_ptr& exchange,
                       std::string_view /*subject*/) {
  const std::string name = exchange->request().Query("format");
  for (const burn_format& format : kBurnFormats) {
    if (format.name != name)
      continue;
    return Ask({exchange}, [&](caller_token token) {
      return report_request{token, format.kind};
    });
  }
  RespondInvalid(exchange, "format is not json, text or svg");
}

// ---- Towards the control thread -------------------------------------------

template <typename Make>
void http_api::Ask(waiting_caller caller,
                   net::http_response overloaded,
                   Make make) {
  const net::http_exchange_ptr exchange = caller.exchange;
  const caller_token token = services_.waiting.Add(std::move(caller));
  auto event = make(token);
  control_event control;
  if constexpr (std::is_same_v<decltype(event), report_request>)
    control = event;
  else
    control = entry_event(std::move(event));
  if (!services_.events.TryPush(std::move(control)))
    return services_.waiting.Respond(token, std::move(overloaded));
  WatchCaller(token, exchange);
}

template <typename Make>
void http_api::Ask(waiting_caller caller, Make make) {
  Ask(std::move(caller), MakeOverloaded(false), std::move(make));
}

void http_api::WatchCaller(caller_token token,
                           const net::http_exchange_ptr& exchange) {
  exchange->OnDisconnect(
      [token, &waiting = services_.waiting, &events = services_.events] {
        if (waiting.Take(token))
          events.PushRequired(entry_event(decision::caller_gone{token}));
      });
}

}  // namespace egretrack::entry
