#ifndef EGRETRACK_ENTRY_CONFIG_PUBLISHER_H_
#define EGRETRACK_ENTRY_CONFIG_PUBLISHER_H_

#include <cstdint>
#include <functional>
#include <string>

#include "egretrack/net/http.h"
#include "egretrack/store/table_client.h"
#include "entry/traffic_thread.h"

namespace egretrack::entry {

// Requests that `document` becomes the version after `base_version`.
struct publication_request {
  std::uint64_t base_version = 0;  // 0: no version exists yet.
  std::string publication_id;      // The same in every retry of the request.
  std::string document;
};

// Publishes versions of the configuration through the table service and reads
// their history.
class config_publisher {
 public:
  using on_published =
      std::function<void(std::uint64_t version, std::string document)>;

  // Calls `callback` on `thread` for each version that was published.
  config_publisher(traffic_thread& thread,
                   store::table_client& table,
                   on_published callback);

  // Answers `exchange` with the outcome.
  void Publish(publication_request request, net::http_exchange_ptr exchange);
  // Answers with the numbers of at most `limit` versions after `after`, in
  // ascending order.
  void ListVersions(std::uint64_t after,
                    std::uint32_t limit,
                    net::http_exchange_ptr exchange);
  // Answers with the record of `version` in the history.
  void ReadVersion(std::uint64_t version, net::http_exchange_ptr exchange);

 private:
  traffic_thread& thread_;
  store::table_client& table_;
  const on_published on_published_;
};

}  // namespace egretrack::entry

#endif  // EGRETRACK_ENTRY_CONFIG_PUBLISHER_H_
