#ifndef EGRETRACK_ENTRY_CONFIG_WATCHER_H_
#define EGRETRACK_ENTRY_CONFIG_WATCHER_H_

#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "egretrack/net/http.h"
#include "egretrack/objects/configuration.h"
#include "egretrack/store/table_client.h"
#include "egretrack/telemetry/log.h"
#include "entry/config_record.h"
#include "entry/traffic_thread.h"

namespace egretrack::entry {

// Holds the current version of the configuration. Polls the table service or,
// while the table service is unavailable, the other entries in turn, and
// accepts the versions that agents offer. Ignores a version that is not newer
// than the current one.
class config_watcher {
 public:
  using on_adopted = std::function<void(objects::configuration_ptr)>;

  // Calls `callback` on `thread` for each new current version.
  config_watcher(traffic_thread& thread,
                 store::table_client& table,
                 net::http_client& http,
                 std::vector<net::tcp_address> peers,
                 milliseconds interval,
                 on_adopted callback);

  // Starts polling: at once, then `interval` after the end of each poll.
  void Start();
  // Adopts `version` if it is newer than the current one. Safe from any thread.
  void Offer(std::uint64_t version, std::string document);
  // The current version, or nullptr if there is none yet. Safe from any thread.
  objects::configuration_ptr current() const;

 private:
  void Poll();
  void PollLater();
  void OnVersionRow(const result<std::optional<store::row>>& found);
  void ReadDocument(std::uint64_t version);
  void OnDocumentRow(const result<std::optional<store::row>>& found);
  void PollPeer();
  void OnPeerReply(const net::http_reply& reply);
  void AdoptRecord(std::string_view text);
  void Adopt(std::uint64_t version, std::string_view document);
  std::uint64_t current_version() const;

  traffic_thread& thread_;
  store::table_client& table_;
  net::http_client& http_;
  const std::vector<net::tcp_address> peers_;
  const milliseconds interval_;
  const on_adopted on_adopted_;
  const telemetry::logger log_{"entry.config"};
  std::size_t next_peer_ = 0;
  mutable std::mutex mutex_;
  objects::configuration_ptr current_;  // Guarded by `mutex_`.
};

}  // namespace egretrack::entry

#endif  // EGRETRACK_ENTRY_CONFIG_WATCHER_H_
