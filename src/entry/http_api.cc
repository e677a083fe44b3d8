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

constexpr std::uint32_t kMaxReservedIds = 1000;
constexpr std::uint32_t kDefaultHistoryLimit = 100;
constexpr std::uint32_t kMaxHistoryLimit = 1000;
// The successor of the highest version must fit into 64 bits.
constexpr std::uint64_t kMaxVersion = ~std::uint64_t{0} - 1;
// Deadline of a submission of an unknown kind, which the home entry refuses at
// once.
constexpr milliseconds kDefaultDeadline{30000};
// Added to the deadline of a forwarded submission, at which the home entry
// answers at the latest.
constexpr milliseconds kForwardTimeoutMargin{1000};
// Also applies to cancellations.
constexpr milliseconds kForwardedInquiryTimeout{2000};

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

// Parses a decimal number; nullopt if `text` is no number or out of range.
template <typename Number>
std::optional<Number> ParseNumber(std::string_view text,
                                  Number min,
                                  Number max) {
  Number value = 0;
  const char* const last = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), last, value);
  const bool is_complete = parsed.ec == std::errc() && parsed.ptr == last;
  if (!is_complete || value < min || value > max)
    return std::nullopt;
  return value;
}

template <typename Number>
std::optional<Number> ParseQueryNumber(const net::http_request& request,
                                       std::string_view name,
                                       Number default_value,
                                       Number min,
                                       Number max) {
  const std::string text = request.Query(name);
  if (text.empty())
    return default_value;
  return ParseNumber(text, min, max);
}

void RespondInvalidParameter(const net::http_exchange_ptr& exchange,
                             std::string_view parameter) {
  exchange->Respond(
      MakeErrorResponse(request_errc::kInvalidParameter, parameter));
}

net::http_response AddJobId(net::http_response response,
                            const std::optional<job_id>& id) {
  if (id)
    response.headers.push_back({std::string(kJobIdHeader), id->ToString()});
  return response;
}

// Response when the mailbox of the control thread is full. `not_run` must be
// true only if no earlier submission can have started the job.
net::http_response MakeOverloadResponse(bool not_run) {
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

net::http_response MakeOkResponse() {
  return {200, {{"Content-Type", "application/json"}}, R"({"ok":true})"};
}

}  // namespace

std::span<const http_api::route> http_api::Routes() {
  static constexpr std::array kRoutes = {
      route{"POST", "/v1/jobs/reserve", &http_api::ReserveIds},
      route{"POST", "/v1/jobs", &http_api::SubmitWithoutId},
      route{"PUT", "/v1/jobs/{}", &http_api::SubmitWithId},
      route{"GET", "/v1/jobs/{}", &http_api::Inquire},
      route{"DELETE", "/v1/jobs/{}", &http_api::Cancel},
      route{"GET", "/v1/config", &http_api::GetConfig},
      route{"PUT", "/v1/config", &http_api::PutConfig},
      route{"GET", "/v1/config/history", &http_api::GetConfigHistory},
      route{"GET", "/v1/status", &http_api::GetStatus},
      route{"POST", "/v1/drain", &http_api::DrainEntry},
      route{"POST", "/v1/agents/{}/drain", &http_api::DrainAgent},
      route{"GET", "/v1/health", &http_api::GetHealth},
      route{"GET", "/v1/ready", &http_api::GetReady},
      route{"GET", "/metrics", &http_api::GetMetrics},
      route{"GET", "/v1/report/burn", &http_api::GetBurnReport},
  };
  return kRoutes;
}

http_api::http_api(http_api_dependencies dependencies)
    : dependencies_(std::move(dependencies)) {}

void http_api::Handle(const net::http_exchange_ptr& exchange) {
  const net::http_request& request = exchange->request();
  std::string allowed;
  for (const route& candidate : Routes()) {
    const auto segment = MatchPath(candidate.pattern, request.path());
    if (!segment)
      continue;
    if (candidate.method == request.method)
      return (this->*candidate.handle)(exchange, *segment);
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
                          std::string_view /*segment*/) {
  const auto count = ParseQueryNumber<std::uint32_t>(
      exchange->request(), "count", 1, 1, kMaxReservedIds);
  if (!count)
    return RespondInvalidParameter(exchange,
                                   "count is not a number from 1 to 1000");
  PushEvent({exchange}, [&](caller_token token) {
    return decision::reserve_request{token, *count};
  });
}

void http_api::SubmitWithoutId(const net::http_exchange_ptr& exchange,
                               std::string_view /*segment*/) {
  std::string key(exchange->request().Header("Idempotency-Key"));
  if (!key.empty() && !IsValidKey(key))
    return RespondInvalidParameter(exchange, "Idempotency-Key");
  auto job = ParseSubmissionOrRespond(exchange, std::nullopt);
  if (!job)
    return;
  const bool no_earlier_submission = key.empty();
  PushEvent({exchange, job_operation::kSubmit, ForwardTimeout(*job)},
            MakeOverloadResponse(no_earlier_submission),
            [&](caller_token token) {
              return decision::submit_request{
                  token, std::nullopt, std::move(*job), false, std::move(key)};
            });
}

void http_api::SubmitWithId(const net::http_exchange_ptr& exchange,
                            std::string_view id) {
  const auto parsed_id = ParseIdOrRespond(exchange, id);
  if (!parsed_id)
    return;
  auto job = ParseSubmissionOrRespond(exchange, parsed_id);
  if (!job)
    return;
  const bool forwarded = exchange->request().Header(kForwardedHeader) == "1";
  PushEvent({exchange, job_operation::kSubmit, ForwardTimeout(*job)},
            AddJobId(MakeOverloadResponse(false), parsed_id),
            [&](caller_token token) {
              return decision::submit_request{
                  token, parsed_id, std::move(*job), forwarded, {}};
            });
}

void http_api::Inquire(const net::http_exchange_ptr& exchange,
                       std::string_view id) {
  const auto parsed_id = ParseIdOrRespond(exchange, id);
  if (!parsed_id)
    return;
  const bool forwarded = exchange->request().Header(kForwardedHeader) == "1";
  PushEvent({exchange, job_operation::kInquire, kForwardedInquiryTimeout},
            AddJobId(MakeOverloadResponse(false), parsed_id),
            [&](caller_token token) {
              return decision::job_inquiry{token, *parsed_id, forwarded};
            });
}

void http_api::Cancel(const net::http_exchange_ptr& exchange,
                      std::string_view id) {
  const auto parsed_id = ParseIdOrRespond(exchange, id);
  if (!parsed_id)
    return;
  const bool forwarded = exchange->request().Header(kForwardedHeader) == "1";
  PushEvent({exchange, job_operation::kCancel, kForwardedInquiryTimeout},
            AddJobId(MakeOverloadResponse(false), parsed_id),
            [&](caller_token token) {
              return decision::cancel_request{token, *parsed_id, forwarded};
            });
}

std::optional<job_id> http_api::ParseIdOrRespond(
    const net::http_exchange_ptr& exchange,
    std::string_view text) const {
  const auto parsed = job_id::Parse(text);
  if (!parsed) {
    exchange->Respond(MakeErrorResponse(request_errc::kInvalidId, text));
    return std::nullopt;
  }
  const bool is_home = parsed->entry == dependencies_.entry &&
                       parsed->home == dependencies_.entry_incarnation;
  // A request is forwarded only once: the sender assumed that this process is
  // the home entry.
  if (!is_home && exchange->request().Header(kForwardedHeader) == "1") {
    exchange->Respond(
        AddJobId(MakeErrorResponse(request_errc::kWrongHome, text), *parsed));
    return std::nullopt;
  }
  return *parsed;
}

std::optional<decision::submission> http_api::ParseSubmissionOrRespond(
    const net::http_exchange_ptr& exchange,
    const std::optional<job_id>& id) const {
  auto parsed = ParseSubmission(exchange->request().body);
  if (parsed)
    return std::move(*parsed);
  exchange->Respond(AddJobId(MakeErrorResponse(parsed.error()), id));
  return std::nullopt;
}

milliseconds http_api::ForwardTimeout(const decision::submission& job) const {
  if (job.deadline)
    return *job.deadline + kForwardTimeoutMargin;
  const auto configuration = dependencies_.configuration.current();
  const objects::request_kind* const kind =
      configuration ? objects::FindKind(configuration->objects, job.kind)
                    : nullptr;
  return (kind ? kind->deadline : kDefaultDeadline) + kForwardTimeoutMargin;
}

// ---- Configuration --------------------------------------------------------

void http_api::GetConfig(const net::http_exchange_ptr& exchange,
                         std::string_view /*segment*/) {
  const auto current = dependencies_.configuration.current();
  if (!current) {
    return exchange->Respond(MakeErrorResponse(
        request_errc::kNotReady, "no configuration is known yet"));
  }
  exchange->Respond({200,
                     {{"Content-Type", "application/json"}},
                     EncodeRecord({current->version, {}, current->document})});
}

void http_api::GetConfigHistory(const net::http_exchange_ptr& exchange,
                                std::string_view /*segment*/) {
  const net::http_request& request = exchange->request();
  const auto version =
      ParseQueryNumber<std::uint64_t>(request, "version", 0, 1, kMaxVersion);
  const auto after =
      ParseQueryNumber<std::uint64_t>(request, "after", 0, 0, kMaxVersion);
  const auto limit = ParseQueryNumber<std::uint32_t>(
      request, "limit", kDefaultHistoryLimit, 1, kMaxHistoryLimit);
  if (!version || !after || !limit)
    return RespondInvalidParameter(
        exchange, "version, after or limit is not a number in its range");
  if (*version != 0)
    return dependencies_.publisher.ReadVersion(*version, exchange);
  dependencies_.publisher.ListVersions(*after, *limit, exchange);
}

void http_api::PutConfig(const net::http_exchange_ptr& exchange,
                         std::string_view /*segment*/) {
  const net::http_request& request = exchange->request();
  const auto base =
      ParseNumber<std::uint64_t>(request.Query("base"), 0, kMaxVersion);
  if (!base)
    return RespondInvalidParameter(exchange,
                                   "base is not a configuration version");
  std::string publication = request.Query("publication");
  if (!IsValidKey(publication))
    return RespondInvalidParameter(exchange, "publication is not a valid id");
  dependencies_.publisher.Publish({*base, std::move(publication), request.body},
                                  exchange);
}

// ---- Operation ------------------------------------------------------------

void http_api::GetStatus(const net::http_exchange_ptr& exchange,
                         std::string_view /*segment*/) {
  PushEvent({exchange},
            [](caller_token token) { return decision::status_request{token}; });
}

void http_api::DrainEntry(const net::http_exchange_ptr& exchange,
                          std::string_view /*segment*/) {
  dependencies_.events.PushRequired(entry_event(decision::drain_entry{}));
  exchange->Respond(
      {202, {{"Content-Type", "application/json"}}, R"({"draining":true})"});
}

void http_api::DrainAgent(const net::http_exchange_ptr& exchange,
                          std::string_view agent) {
  PushEvent({exchange}, [&](caller_token token) {
    return decision::drain_agent{token, std::string(agent)};
  });
}

void http_api::GetHealth(const net::http_exchange_ptr& exchange,
                         std::string_view /*segment*/) {
  exchange->Respond(MakeOkResponse());
}

void http_api::GetReady(const net::http_exchange_ptr& exchange,
                        std::string_view /*segment*/) {
  if (dependencies_.ready)
    return exchange->Respond(MakeOkResponse());
  exchange->Respond(MakeErrorResponse(request_errc::kNotReady,
                                      "entry " + dependencies_.entry));
}

void http_api::GetMetrics(const net::http_exchange_ptr& exchange,
                          std::string_view /*segment*/) {
  PushEvent({exchange}, [](caller_token token) {
    return report_request{token, report_kind::kMetrics};
  });
}

void http_api::GetBurnReport(const net::http_exchange_ptr& exchange,
                             std::string_view /*segment*/) {
  const std::string name = exchange->request().Query("format");
  for (const burn_format& format : kBurnFormats) {
    if (format.name != name)
      continue;
    return PushEvent({exchange}, [&](caller_token token) {
      return report_request{token, format.kind};
    });
  }
  RespondInvalidParameter(exchange, "format is not json, text or svg");
}

// ---- Events for the control thread ----------------------------------------

template <typename MakeEvent>
void http_api::PushEvent(waiting_caller caller,
                         net::http_response overload_response,
                         MakeEvent make_event) {
  const net::http_exchange_ptr exchange = caller.exchange;
  const caller_token token = dependencies_.callers.Add(std::move(caller));
  auto event = make_event(token);
  control_event message;
  if constexpr (std::is_same_v<decltype(event), report_request>)
    message = event;
  else
    message = entry_event(std::move(event));
  if (!dependencies_.events.TryPush(std::move(message)))
    return dependencies_.callers.Respond(token, std::move(overload_response));
  ReportDisconnect(token, exchange);
}

template <typename MakeEvent>
void http_api::PushEvent(waiting_caller caller, MakeEvent make_event) {
  PushEvent(std::move(caller), MakeOverloadResponse(false),
            std::move(make_event));
}

void http_api::ReportDisconnect(caller_token token,
                                const net::http_exchange_ptr& exchange) {
  exchange->OnDisconnect([token, &callers = dependencies_.callers,
                          &events = dependencies_.events] {
    if (callers.Take(token))
      events.PushRequired(entry_event(decision::caller_gone{token}));
  });
}

}  // namespace egretrack::entry
