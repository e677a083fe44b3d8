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

// Learns of new versions from the table service, from agents and, while the
// table is not reached, from other entries. The version held only rises.
class config_watcher {
 public:
  using on_adopted = std::function<void(objects::configuration_ptr)>;

  // `adopted` runs on the worker.
  config_watcher(traffic_thread& thread,
                 store::table_client& table,
                 net::http_client& http,
                 std::vector<net::tcp_address> peers,
                 milliseconds interval,
                 on_adopted adopted);

  // Polls from now on.
  void Start();
  // A version that someone else holds. Safe from any thread.
  void Offer(std::uint64_t version, std::string document);
  // The version held, or nullptr. Safe from any thread.
  objects::configuration_ptr current() const;

 private:
  void Poll();
  void PollLater();
  void OnVersionRow(const result<std::optional<store::row>>& found);
  void ReadDocument(std::uint64_t version);
  void OnDocumentRow(const result<std::optional<store::row>>& found);
  void AskPeer();
  void OnPeerReply(const net::http_reply& reply);
  void AdoptRecord(std::string_view text);
  void Adopt(std::uint64_t version, std::string_view document);
  std::uint64_t version() const;

  traffic_thread& thread_;
  store::table_client& table_;
  net::http_client& http_;
  const std::vector<net::tcp_address> peers_;
  const milliseconds interval_;
  const on_adopted adopted_;
  const telemetry::logger log_{"entry.config"};
  std::size_t next_peer_ = 0;
  mutable std::mutex mutex_;
  objects::configuration_ptr current_;  // Guarded by `mutex_`.
};

}  // namespace egretrack::entry

#endif  // EGRETRACK_ENTRY_CONFIG_WATCHER_H_
