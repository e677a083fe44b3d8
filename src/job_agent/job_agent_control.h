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
#include "egretrack/scheduler/run_supervisor.h"
#include "egretrack/telemetry/event_log.h"
#include "egretrack/telemetry/metrics.h"
#include "job_agent/worker_caller.h"
#include "platform/store_client.h"

namespace egretrack::job_agent {

// The list of entries, read from the store.
struct entries_answer {
  result<platform::store_page> page;
};
// What the agent kept of its worker before it restarted.
struct worker_answer {
  result<platform::store_page> page;
};
// Of the write that keeps the worker.
struct keep_answer {
  result<std::uint64_t> version;
};
struct seeds_changed {
  std::vector<wire::entry_member> members;
};
struct metrics_request {
  net::http_exchange_ptr exchange;
};

using control_event = std::variant<scheduler::supervisor_event,
                                   entries_answer,
                                   worker_answer,
                                   keep_answer,
                                   seeds_changed,
                                   metrics_request>;
using control_mailbox = mailbox<control_event>;

// Counted by traffic threads.
struct traffic_counters {
  std::atomic<std::uint64_t> malformed_frames{0};
  std::atomic<std::uint64_t> bad_reports{0};
};

// What the control thread uses; all outlive it.
struct control_parts {
  std::string agent;
  control_mailbox& events;
  platform::store_client& store;
  net::frame_dealer& entries;
  worker_caller& worker;
  const traffic_counters& traffic;
  std::function<void()> drained;
};

// The control thread's side: feeds the core with events and carries out its
// commands.
class job_agent_control {
 public:
  job_agent_control(std::unique_ptr<scheduler::run_supervisor> core,
                    control_parts parts);

  // Handler of the control loop.
  monotonic_time OnBatch(std::span<control_event> batch, monotonic_time now);

 private:
  // ---- Events ----
  void OnSupervisorEvent(scheduler::supervisor_event& event,
                         monotonic_time& now);
  void OnEntries(entries_answer& event, monotonic_time& now);
  void OnWorker(worker_answer& event, monotonic_time& now);
  void OnKept(keep_answer& event, monotonic_time& now);
  void OnSeeds(seeds_changed& event, monotonic_time& now);
  void OnMetrics(metrics_request& event, monotonic_time& now);

  // Reads the list of entries until it was read once, and again while no entry
  // is heard.
  monotonic_time ReadEntries(monotonic_time now);
  // Reads once what was kept of the worker; without an answer the worker's own
  // report has to be waited for.
  void ReadWorker();

  // ---- Commands ----
  void Open(scheduler::open_link& command, monotonic_time& now);
  void Send(scheduler::send_to_entry& command, monotonic_time& now);
  void Start(scheduler::start_run& command, monotonic_time& now);
  void Stop(scheduler::stop_run& command, monotonic_time& now);
  void Look(scheduler::look_at_worker& command, monotonic_time& now);
  void Keep(scheduler::keep_worker& command, monotonic_time& now);
  void Log(scheduler::decision_record& command, monotonic_time& now);
  void FinishDrain(scheduler::supervisor_drained& command, monotonic_time& now);
  void PerformCommands(monotonic_time now);
  void LogEvent(std::string_view event,
                bool explains_failure,
                std::vector<event_field> fields,
                monotonic_time now);

  const std::unique_ptr<scheduler::run_supervisor> core_;
  const control_parts parts_;
  const std::unique_ptr<telemetry::metrics> metrics_;
  telemetry::event_log log_;
  std::vector<scheduler::supervisor_command> commands_;
  bool worker_read_ = false;
  bool entries_read_ = false;
  bool reading_ = false;
  bool store_lost_ = false;
  monotonic_time next_read_{};
};

}  // namespace egretrack::job_agent

#endif  // EGRETRACK_JOB_AGENT_JOB_AGENT_CONTROL_H_
