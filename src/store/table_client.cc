#include "egretrack/store/table_client.h"

#include <utility>

#include "egretrack/net/percent.h"
#include "store/table_codec.h"

namespace egretrack::store {
namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kNotFound = 404;
constexpr unsigned kPreconditionFailed = 412;
constexpr unsigned kFirstServerError = 500;

std::string TablePath(std::string_view table) {
  return "/v1/rows/" + net::PercentEncode(table);
}

std::string Describe(std::string_view table, std::string_view key) {
  return "table " + std::string(table) + ", row " + std::string(key);
}

// Returns the error of a read without a usable response.
error ReadFailure(const net::http_reply& reply, std::string_view subject) {
  if (!reply.ok && reply.failure.cause.code == errc::kTimeout)
    return MakeError(errc::kTimeout, subject);
  if (!reply.ok)
    return MakeError(errc::kUnavailable, reply.failure.cause.detail);
  return MakeError(errc::kUnavailable,
                   std::string(subject) + ", HTTP status " +
                       std::to_string(reply.response.status));
}

result<std::optional<row>> ToRow(net::http_reply reply,
                                 std::string_view subject) {
  if (reply.ok && reply.response.status == kNotFound)
    return std::optional<row>();
  if (!reply.ok || reply.response.status != kOk)
    return ReadFailure(reply, subject);
  const auto etag = DecodeEtag(reply.response.Header("ETag"));
  if (!etag)
    return MakeError(errc::kUnavailable,
                     std::string(subject) + ", response has no valid ETag");
  return std::optional<row>({*etag, std::move(reply.response.body)});
}

result<void> ToWriteResult(const net::http_reply& reply) {
  if (!reply.ok) {
    const bool unsent = reply.failure.stage == net::call_stage::kNotSent;
    return MakeError(unsent ? errc::kUnavailable : errc::kOutcomeUnknown,
                     reply.failure.cause.ToString());
  }
  const unsigned status = reply.response.status;
  if (status == kOk)
    return {};
  const std::string detail =
      "transaction, HTTP status " + std::to_string(status);
  if (status == kPreconditionFailed)
    return MakeError(errc::kConflict, detail);
  // A server error may be reported after the write has taken effect.
  if (status >= kFirstServerError)
    return MakeError(errc::kOutcomeUnknown, detail);
  return MakeError(errc::kInvalidArgument, detail);
}

class table_client_impl final : public table_client {
 public:
  table_client_impl(net::tcp_address service, milliseconds timeout)
      : service_(std::move(service)),
        timeout_(timeout),
        http_(net::http_client::Create({.connect_timeout = timeout})) {}

  void Read(std::string_view table,
            std::string_view key,
            on_row done) override {
    const std::string target = TablePath(table) + "/" + net::PercentEncode(key);
    http_->Call(
        service_, {"GET", target, {}, {}}, timeout_,
        [subject = Describe(table, key), done = std::move(done)](
            net::http_reply reply) { done(ToRow(std::move(reply), subject)); });
  }

  void Write(std::vector<row_write> writes, on_write done) override {
    const std::vector<net::header> headers = {
        {"Content-Type", "application/json"}};
    http_->Call(
        service_,
        {"POST", "/v1/transactions", headers, EncodeTransaction(writes)},
        timeout_, [done = std::move(done)](const net::http_reply& reply) {
          done(ToWriteResult(reply));
        });
  }

  void List(
      std::string_view table,
      std::string_view after,
      std::uint32_t limit,
      std::function<void(result<std::vector<std::string>>)> done) override {
    const std::string target = TablePath(table) +
                               "?after=" + net::PercentEncode(after) +
                               "&limit=" + std::to_string(limit);
    http_->Call(service_, {"GET", target, {}, {}}, timeout_,
                [subject = Describe(table, "list"),
                 done = std::move(done)](const net::http_reply& reply) {
                  if (!reply.ok || reply.response.status != kOk)
                    return done(ReadFailure(reply, subject));
                  done(DecodeKeys(reply.response.body));
                });
  }

 private:
  const net::tcp_address service_;
  const milliseconds timeout_;
  // Declared last, so that its threads end before other members are destroyed.
  const std::unique_ptr<net::http_client> http_;
};

}  // namespace

std::unique_ptr<table_client> table_client::Create(
    const net::tcp_address& service,
    milliseconds timeout) {
  return std::make_unique<table_client_impl>(service, timeout);
}

}  // namespace egretrack::store
