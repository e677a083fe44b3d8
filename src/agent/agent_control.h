#ifndef EGRETRACK_AGENT_AGENT_CONTROL_H_
#define EGRETRACK_AGENT_AGENT_CONTROL_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <unordered_map>
#include <vector>

#include "agent/agent_event.h"
#include "agent/endpoint_client.h"
#include "agent/frame_batch.h"
#include "egretrack/base/time.h"
#include "egretrack/decision/agent_core.h"
#include "egretrack/net/frame_link.h"
#include "egretrack/telemetry/log.h"
#include "egretrack/telemetry/metrics.h"

namespace egretrack::agent {

// Updated by traffic threads and read by the control thread.
struct traffic_counters {
  std::atomic<std::uint64_t> malformed_frames{0};
  std::atomic<std::uint64_t> dropped_frames{0};  // Mailbox full.
};

// Runs on the control thread: passes events to the decision core and performs
// the commands that the core returns.
class agent_control {
 public:
  agent_control(std::unique_ptr<decision::agent_core> core,
                net::frame_dealer& dealer,
                std::size_t entry_count,
                endpoint_client& client,
                const traffic_counters& traffic,
                std::function<void()> on_drained);

  // Handler of the control loop. Returns the latest time of the next call.
  monotonic_time OnBatch(std::span<control_event> batch, monotonic_time now);

 private:
  // ---- Events ----
  void OnCoreEvent(decision::agent_event& event, monotonic_time& now);
  void OnOperatorQuery(operator_query& query, monotonic_time& now);

  // ---- Operator queries ----
  void HandleStatusQuery(const net::http_exchange_ptr& exchange,
                         monotonic_time now);
  void HandleReadyQuery(const net::http_exchange_ptr& exchange,
                        monotonic_time now);
  void HandleMetricsQuery(const net::http_exchange_ptr& exchange,
                          monotonic_time now);

  // ---- Commands ----
  void SendToEntry(decision::send_to_entry& command);
  void OpenConnection(decision::open_connection& command);
  void StartTask(decision::start_task& command);
  void DeliverReport(decision::deliver_agent_report& command);
  void FinishDrain(decision::agent_drain_finished& command);
  void PerformCommands();

  const std::unique_ptr<decision::agent_core> core_;
  frame_batch frames_;
  endpoint_client& endpoint_client_;
  const traffic_counters& traffic_;
  const std::function<void()> on_drained_;
  const std::unique_ptr<telemetry::metrics> metrics_;
  const telemetry::logger log_;
  std::vector<decision::agent_command> commands_;
  std::uint64_t last_status_token_ = 0;
  std::unordered_map<std::uint64_t, net::http_exchange_ptr>
      pending_status_queries_;
};

}  // namespace egretrack::agent

#endif  // EGRETRACK_AGENT_AGENT_CONTROL_H_
