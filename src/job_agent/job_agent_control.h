#ifndef EGRETRACK_JOB_AGENT_JOB_AGENT_CONTROL_H_
#define EGRETRACK_JOB_AGENT_JOB_AGENT_CONTROL_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "egretrack/base/mailbox.h"
#include "egretrack/net/frame_link.h"
#include "egretrack/net/http.h"
#include "egretrack/net/limit_report.h"
#include "egretrack/net/traffic_guard.h"
#include "egretrack/scheduler/run_supervisor.h"
#include "egretrack/telemetry/event_log.h"
#include "egretrack/telemetry/metrics.h"
#include "job_agent/worker_client.h"
#include "platform/store_client.h"

namespace egretrack::job_agent {

// Result of reading the list of entries from the store.
struct entries_loaded {
  result<platform::store_page> page;
};
// Result of reading the worker that an earlier incarnation stored.
struct worker_loaded {
  result<platform::store_page> page;
};
// Result of storing the worker.
struct worker_stored {
  result<std::uint64_t> version;
};
struct seeds_changed {
  std::vector<wire::entry_member> members;
};
struct metrics_request {
  net::http_exchange_ptr exchange;
};

using control_event = std::variant<scheduler::supervisor_event,
                                   entries_loaded,
                                   worker_loaded,
                                   worker_stored,
                                   seeds_changed,
                                   metrics_request>;
using control_mailbox = mailbox<control_event>;

// Updated by traffic threads.
struct traffic_counters {
  std::atomic<std::uint64_t> malformed_frames{0};
  std::atomic<std::uint64_t> bad_reports{0};
};

// Objects used by the control thread. All of them outlive it.
struct control_dependencies {
  std::string agent;
  control_mailbox& events;
  platform::store_client& store;
  net::frame_dealer& entries;
  worker_client& worker;
  const traffic_counters& traffic;
  const net::traffic_guard& guard;
  std::function<void()> on_drained;
};

// Passes events to the decision core and performs its commands. Used on the
// control thread only.
class job_agent_control {
 public:
  job_agent_control(std::unique_ptr<scheduler::run_supervisor> core,
                    control_dependencies dependencies);

  // Batch handler of the control loop.
  monotonic_time OnBatch(std::span<control_event> batch, monotonic_time now);

 private:
  // ---- Events ----
  void OnSupervisorEvent(scheduler::supervisor_event& event,
                         monotonic_time& now);
  void OnEntriesLoaded(entries_loaded& event, monotonic_time& now);
  void OnWorkerLoaded(worker_loaded& event, monotonic_time& now);
  void OnWorkerStored(worker_stored& event, monotonic_time& now);
  void OnSeedsChanged(seeds_changed& event, monotonic_time& now);
  void OnMetricsRequest(metrics_request& event, monotonic_time& now);

  // Reads the list of entries until a read succeeds, and repeats it while no
  // entry responds. Returns the time of the next read.
  monotonic_time ReadEntries(monotonic_time now);
  // Reads the stored worker once. If that fails, the agent has no worker until
  // the worker's next report.
  void ReadWorker();

  // ---- Commands ----
  void OpenLink(scheduler::open_link& command, monotonic_time& now);
  void CloseLink(scheduler::close_link& command, monotonic_time& now);
  void SendToEntry(scheduler::send_to_entry& command, monotonic_time& now);
  void StartRun(scheduler::start_run& command, monotonic_time& now);
  void StopRun(scheduler::stop_run& command, monotonic_time& now);
  void PollWorker(scheduler::poll_worker& command, monotonic_time& now);
  void StoreWorker(scheduler::store_worker& command, monotonic_time& now);
  void LogDecision(scheduler::decision_record& command, monotonic_time& now);
  void FinishDrain(scheduler::agent_drain_finished& command,
                   monotonic_time& now);
  void PerformCommands(monotonic_time now);
  void ObserveCall(scheduler::worker_call_measured& command,
                   monotonic_time& now);
  void AddLimitMetrics();
  void ReportLimits(monotonic_time now);
  void LogEvent(std::string_view event,
                bool explains_failure,
                std::vector<event_field> fields,
                monotonic_time now);

  const std::unique_ptr<scheduler::run_supervisor> core_;
  const control_dependencies dependencies_;
  const std::unique_ptr<telemetry::metrics> metrics_;
  telemetry::event_log log_;
  net::limit_report limit_report_;
  std::vector<scheduler::supervisor_command> commands_;
  bool worker_read_started_ = false;
  bool entries_loaded_ = false;
  bool entries_read_in_flight_ = false;
  bool store_unreachable_ = false;
  monotonic_time next_entries_read_{};
};

}  // namespace egretrack::job_agent

#endif  // EGRETRACK_JOB_AGENT_JOB_AGENT_CONTROL_H_
