#include "standins/table_service.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <mutex>
#include <thread>
#include <utility>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "egretrack/net/percent.h"
#include "standins/table_rows.h"
#include "store/table_codec.h"

namespace egretrack::standins {
namespace {

namespace json = boost::json;

constexpr std::string_view kRowsPrefix = "/v1/rows/";
constexpr unsigned kThreads = 2;
constexpr std::size_t kDefaultListLimit = 100;
constexpr std::size_t kMaxListLimit = 10000;

net::http_response EmptyResponse(unsigned status) {
  return {status, {}, {}};
}

net::http_response ErrorResponse(unsigned status, std::string_view code) {
  json::object body;
  body["error"] = json::string_view(code);
  return {
      status, {{"Content-Type", "application/json"}}, json::serialize(body)};
}

net::http_response ResponseWithEtag(std::uint64_t etag, std::string body) {
  return {200, {{"ETag", store::EncodeEtag(etag)}}, std::move(body)};
}

struct row_name {
  std::string table;
  std::string key;  // Empty if the path names a table.
};

row_name ParseRowPath(std::string_view path) {
  path.remove_prefix(kRowsPrefix.size());
  const std::size_t slash = std::min(path.find('/'), path.size());
  const std::string_view key = path.substr(std::min(slash + 1, path.size()));
  return {net::PercentDecode(path.substr(0, slash)), net::PercentDecode(key)};
}

// Returns the version that a request expects, 0 if the row must not exist, or
// nothing if the request has no condition.
std::optional<std::uint64_t> ExpectedVersion(const net::http_request& request) {
  if (request.Header("If-None-Match") == "*")
    return 0;
  return store::DecodeEtag(request.Header("If-Match"));
}

std::optional<table_faults> ParseFaults(std::string_view body) {
  boost::system::error_code parse_error;
  const json::value parsed = json::parse(json::string_view(body), parse_error);
  const json::object* const fields = parse_error ? nullptr : parsed.if_object();
  if (fields == nullptr)
    return std::nullopt;
  table_faults faults;
  for (const auto& [key, value] : *fields) {
    if (key == "down" && value.is_bool()) {
      faults.down = value.get_bool();
    } else if (key == "lose_answers" && value.is_bool()) {
      faults.lose_answers = value.get_bool();
    } else if (key == "slow_ms" && value.is_int64()) {
      faults.slow = milliseconds(value.get_int64());
    } else {
      return std::nullopt;
    }
  }
  return faults;
}

class table_service_impl final : public table_service {
 public:
  table_service_impl() : work_(context_.get_executor()) {}
  table_service_impl(const table_service_impl&) = delete;
  table_service_impl& operator=(const table_service_impl&) = delete;

  ~table_service_impl() override {
    server_.reset();
    context_.stop();
    if (timer_thread_.joinable())
      timer_thread_.join();
  }

  result<void> Start(const net::tcp_address& address) {
    auto server = net::http_server::Listen(
        address, kThreads, {}, [this](net::http_exchange_ptr exchange) {
          Serve(std::move(exchange));
        });
    if (!server)
      return server.error();
    server_ = std::move(*server);
    timer_thread_ = std::thread([this] { context_.run(); });
    return {};
  }

  net::tcp_address local_address() const override {
    return server_->local_address();
  }

  void SetFaults(const table_faults& faults) override {
    const std::lock_guard lock(mutex_);
    faults_ = faults;
  }

 private:
  using handler = net::http_response (table_service_impl::*)(
      const net::http_request& request);

  struct route {
    std::string_view method;
    std::string_view prefix;
    handler handle;
    bool is_write;
  };

  static const std::array<route, 4> kRoutes;

  void Serve(net::http_exchange_ptr exchange) {
    const net::http_request& request = exchange->request();
    if (request.path() == "/control")
      return exchange->Respond(Control(request));
    const table_faults faults = CurrentFaults();
    if (faults.down)
      return exchange->Abort();
    const route* const found = FindRoute(request);
    if (found == nullptr)
      return exchange->Respond(ErrorResponse(404, "unknown_path"));
    // A delayed write takes effect before its response, so that a client that
    // times out later finds the row written.
    auto response = (this->*found->handle)(request);
    if (faults.lose_answers && found->is_write)
      return exchange->Abort();
    RespondAfter(faults.slow, std::move(exchange), std::move(response));
  }

  static const route* FindRoute(const net::http_request& request) {
    for (const route& candidate : kRoutes) {
      if (request.method == candidate.method &&
          request.path().starts_with(candidate.prefix))
        return &candidate;
    }
    return nullptr;
  }

  void RespondAfter(milliseconds delay,
                    net::http_exchange_ptr exchange,
                    net::http_response response) {
    if (delay.count() <= 0)
      return exchange->Respond(std::move(response));
    const auto timer =
        std::make_shared<boost::asio::steady_timer>(context_, delay);
    timer->async_wait(
        [timer, exchange = std::move(exchange), response = std::move(response)](
            const boost::system::error_code&) mutable {
          exchange->Respond(std::move(response));
        });
  }

  table_faults CurrentFaults() const {
    const std::lock_guard lock(mutex_);
    return faults_;
  }

  net::http_response Control(const net::http_request& request) {
    const auto faults = ParseFaults(request.body);
    if (request.method != "POST" || !faults)
      return ErrorResponse(400, "invalid_faults");
    SetFaults(*faults);
    return EmptyResponse(200);
  }

  net::http_response Get(const net::http_request& request) {
    const row_name name = ParseRowPath(request.path());
    if (name.key.empty())
      return List(name.table, request);
    auto found = rows_.Read(name.table, name.key);
    if (!found)
      return ErrorResponse(404, "unknown_row");
    return ResponseWithEtag(found->etag, std::move(found->value));
  }

  net::http_response List(std::string_view table,
                          const net::http_request& request) {
    std::size_t limit = kDefaultListLimit;
    const std::string text = request.Query("limit");
    std::from_chars(text.data(), text.data() + text.size(), limit);
    const auto keys = rows_.List(table, request.Query("after"),
                                 std::min(limit, kMaxListLimit));
    return {
        200, {{"Content-Type", "application/json"}}, store::EncodeKeys(keys)};
  }

  net::http_response Put(const net::http_request& request) {
    return WriteOne(request, request.body);
  }

  net::http_response Delete(const net::http_request& request) {
    return WriteOne(request, std::nullopt);
  }

  net::http_response WriteOne(const net::http_request& request,
                              std::optional<std::string> value) {
    const row_name name = ParseRowPath(request.path());
    const auto expected = ExpectedVersion(request);
    if (name.key.empty() || !expected)
      return ErrorResponse(400, "missing_key_or_condition");
    const store::row_write write{name.table, name.key, *expected,
                                 std::move(value)};
    const auto etags = rows_.Write({&write, 1});
    if (!etags)
      return ErrorResponse(412, "conflict");
    return ResponseWithEtag(etags->front(), {});
  }

  net::http_response Transact(const net::http_request& request) {
    const auto writes = store::DecodeTransaction(request.body);
    if (!writes)
      return ErrorResponse(400, "malformed_transaction");
    const auto etags = rows_.Write(*writes);
    if (!etags)
      return ErrorResponse(412, "conflict");
    json::array etag_list;
    for (const std::uint64_t etag : *etags)
      etag_list.emplace_back(store::EncodeEtag(etag));
    return {200,
            {{"Content-Type", "application/json"}},
            json::serialize(etag_list)};
  }

  table_rows rows_;
  mutable std::mutex mutex_;
  table_faults faults_;  // Guarded by `mutex_`.
  boost::asio::io_context context_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_;
  std::thread timer_thread_;
  std::unique_ptr<net::http_server> server_;
};

const std::array<table_service_impl::route, 4> table_service_impl::kRoutes = {{
    {"GET", kRowsPrefix, &table_service_impl::Get, false},
    {"PUT", kRowsPrefix, &table_service_impl::Put, true},
    {"DELETE", kRowsPrefix, &table_service_impl::Delete, true},
    {"POST", "/v1/transactions", &table_service_impl::Transact, true},
}};

}  // namespace

result<std::unique_ptr<table_service>> table_service::Listen(
    const net::tcp_address& address) {
  auto service = std::make_unique<table_service_impl>();
  const auto started = service->Start(address);
  if (!started)
    return started.error();
  return std::unique_ptr<table_service>(std::move(service));
}

}  // namespace egretrack::standins
