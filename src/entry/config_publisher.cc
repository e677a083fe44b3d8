#include "entry/config_publisher.h"

#include <utility>

#include "entry/config_publication.h"

namespace egretrack::entry {
namespace {

net::http_response MakeJsonResponse(std::string body) {
  return {200, {{"Content-Type", "application/json"}}, std::move(body)};
}

net::http_response MakeUnavailableResponse(const error& failure) {
  return MakeErrorResponse(request_errc::kTableUnavailable, failure.ToString());
}

}  // namespace

config_publisher::config_publisher(traffic_thread& thread,
                                   store::table_client& table,
                                   on_published callback)
    : thread_(thread), table_(table), on_published_(std::move(callback)) {}

void config_publisher::Publish(publication_request request,
                               net::http_exchange_ptr exchange) {
  const auto publication = std::make_shared<config_publication>(
      thread_, table_, on_published_, std::move(request), std::move(exchange));
  thread_.Post([publication] { publication->Start(); });
}

void config_publisher::ListVersions(std::uint64_t after,
                                    std::uint32_t limit,
                                    net::http_exchange_ptr exchange) {
  table_.List(kHistoryTable, HistoryKey(after), limit,
              [exchange = std::move(exchange)](
                  const result<std::vector<std::string>>& keys) {
                exchange->Respond(keys ? MakeJsonResponse(EncodeVersions(*keys))
                                       : MakeUnavailableResponse(keys.error()));
              });
}

void config_publisher::ReadVersion(std::uint64_t version,
                                   net::http_exchange_ptr exchange) {
  table_.Read(
      kHistoryTable, HistoryKey(version),
      [version, exchange = std::move(exchange)](
          result<std::optional<store::row>> found) {
        if (!found)
          return exchange->Respond(MakeUnavailableResponse(found.error()));
        if (!*found)
          return exchange->Respond(MakeErrorResponse(
              request_errc::kUnknownVersion,
              "version " + std::to_string(version) + " is not in the history"));
        exchange->Respond(MakeJsonResponse(std::move((*found)->value)));
      });
}

}  // namespace egretrack::entry
