#ifndef EGRETRACK_ENTRY_CONFIG_PUBLISHER_H_
#define EGRETRACK_ENTRY_CONFIG_PUBLISHER_H_

#include <cstdint>
#include <functional>
#include <string>

#include "egretrack/net/http.h"
#include "egretrack/store/table_client.h"
#include "entry/traffic_thread.h"

namespace egretrack::entry {

// A set of objects that an operator wants to follow the version `base`.
struct publication_request {
  std::uint64_t base = 0;   // 0: nothing was published before.
  std::string publication;  // Names this attempt, also when it is repeated.
  std::string document;
};

// Publishes configurations through the table service and reads their history.
class config_publisher {
 public:
  using on_published =
      std::function<void(std::uint64_t version, std::string document)>;

  // `published` runs on the worker.
  config_publisher(traffic_thread& thread,
                   store::table_client& table,
                   on_published published);

  // Answers the exchange with the outcome.
  void Publish(publication_request request, net::http_exchange_ptr exchange);
  // Answers with the versions after `after`, at most `limit`.
  void ListVersions(std::uint64_t after,
                    std::uint32_t limit,
                    net::http_exchange_ptr exchange);
  // Answers with one version of the history.
  void ReadVersion(std::uint64_t version, net::http_exchange_ptr exchange);

 private:
  traffic_thread& thread_;
  store::table_client& table_;
  const on_published published_;
};

}  // namespace egretrack::entry

#endif  // EGRETRACK_ENTRY_CONFIG_PUBLISHER_H_
