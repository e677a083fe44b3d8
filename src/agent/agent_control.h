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
#include "agent/endpoint_caller.h"
#include "agent/frame_batch.h"
#include "egretrack/base/time.h"
#include "egretrack/decision/agent_core.h"
#include "egretrack/net/frame_link.h"
#include "egretrack/telemetry/log.h"
#include "egretrack/telemetry/metrics.h"

namespace egretrack::agent {

// Counted by traffic threads.
struct traffic_counters {
  std::atomic<std::uint64_t> malformed_frames{0};
  std::atomic<std::uint64_t> dropped_frames{0};  // The mailbox was full.
};

// The control thread's side: feeds the core with events and carries out its
// commands.
class agent_control {
 public:
  agent_control(std::unique_ptr<decision::agent_core> core,
                net::frame_dealer& dealer,
                std::size_t entries,
                endpoint_caller& caller,
                const traffic_counters& traffic,
                std::function<void()> drained);

  // Handler of the control loop.
  monotonic_time OnBatch(std::span<control_event> batch, monotonic_time now);

 private:
  // ---- Events ----
  void OnCoreEvent(decision::agent_event& event, monotonic_time& now);
  void OnQuestion(operator_question& question, monotonic_time& now);

  // ---- Questions ----
  void AnswerStatus(const net::http_exchange_ptr& exchange, monotonic_time now);
  void AnswerReady(const net::http_exchange_ptr& exchange, monotonic_time now);
  void AnswerMetrics(const net::http_exchange_ptr& exchange,
                     monotonic_time now);

  // ---- Commands ----
  void Send(decision::send_to_entry& command);
  void Open(decision::open_connection& command);
  void Start(decision::start_task& command);
  void GiveReport(decision::deliver_agent_report& command);
  void FinishDrain(decision::agent_drain_finished& command);
  void PerformCommands();

  const std::unique_ptr<decision::agent_core> core_;
  frame_batch frames_;
  endpoint_caller& caller_;
  const traffic_counters& traffic_;
  const std::function<void()> drained_;
  const std::unique_ptr<telemetry::metrics> metrics_;
  const telemetry::logger log_;
  std::vector<decision::agent_command> commands_;
  std::uint64_t last_token_ = 0;
  std::unordered_map<std::uint64_t, net::http_exchange_ptr> status_waiting_;
};

}  // namespace egretrack::agent

#endif  // EGRETRACK_AGENT_AGENT_CONTROL_H_
