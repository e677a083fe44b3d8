#ifndef EGRETRACK_JOB_ENTRY_JOB_ENTRY_CONTROL_H_
#define EGRETRACK_JOB_ENTRY_JOB_ENTRY_CONTROL_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "egretrack/base/mailbox.h"
#include "egretrack/net/frame_link.h"
#include "egretrack/net/http.h"
#include "egretrack/scheduler/job_scheduler.h"
#include "egretrack/telemetry/event_log.h"
#include "egretrack/telemetry/metrics.h"
#include "job_entry/table_follower.h"
#include "platform/store_client.h"

namespace egretrack::job_entry {

// A caller's request, already decoded.
struct caller_request {
  scheduler::caller_token caller{};
  net::http_exchange_ptr exchange;
  scheduler::scheduler_event event;
};

struct configuration_answer {
  follower_answer answer;
};
struct members_answer {
  follower_answer answer;
};
// Of the write by which this entry makes itself known.
struct registration_answer {
  result<std::uint64_t> version;
};
// A configuration that another entry holds, or why it gave none.
struct peer_answer {
  result<std::optional<std::string>> document;
};
struct seeds_changed {
  std::vector<std::string> hosts;
};

// Requests of other processes and operators.
enum class internal_question : std::uint8_t { kMetrics, kConfiguration };
struct internal_request {
  internal_question asked = internal_question::kMetrics;
  net::http_exchange_ptr exchange;
};

using control_event = std::variant<caller_request,
                                   scheduler::scheduler_event,
                                   configuration_answer,
                                   members_answer,
                                   registration_answer,
                                   peer_answer,
                                   seeds_changed,
                                   internal_request>;
using control_mailbox = mailbox<control_event>;

// Counted by traffic threads.
struct traffic_counters {
  std::atomic<std::uint64_t> malformed_frames{0};
  std::atomic<std::uint64_t> bad_requests{0};
  std::atomic<std::uint64_t> dropped_requests{0};  // The mailbox was full.
};

// What the control thread uses; all outlive it.
struct control_parts {
  wire::entry_member self;
  std::uint16_t internal_port = 0;  // The same on every entry.
  control_mailbox& events;
  platform::store_client& store;
  net::http_client& peers;
  net::frame_router& agents;
  const traffic_counters& traffic;
  std::atomic<bool>& ready;
  // Lets callers connect; called once, when the entry can serve them.
  std::function<result<void>()> open_front;
  std::function<void()> close_front;
  std::function<void()> drained;
  milliseconds store_watch{0};
  std::vector<std::string> seed_hosts;
};

// The control thread's side: feeds the core with events and carries out its
// commands.
class job_entry_control {
 public:
  job_entry_control(std::unique_ptr<scheduler::job_scheduler> core,
                    control_parts parts);

  // Handler of the control loop.
  monotonic_time OnBatch(std::span<control_event> batch, monotonic_time now);

 private:
  // ---- Events ----
  void OnCallerRequest(caller_request& event, monotonic_time& now);
  void OnSchedulerEvent(scheduler::scheduler_event& event, monotonic_time& now);
  void OnConfiguration(configuration_answer& event, monotonic_time& now);
  void OnMembers(members_answer& event, monotonic_time& now);
  void OnRegistration(registration_answer& event, monotonic_time& now);
  void OnPeer(peer_answer& event, monotonic_time& now);
  void OnSeeds(seeds_changed& event, monotonic_time& now);
  void OnInternal(internal_request& event, monotonic_time& now);

  // ---- Store and peers ----
  void Adopt(std::string_view document,
             std::string_view source,
             monotonic_time now);
  void Register(monotonic_time now);
  monotonic_time AskPeer(monotonic_time now);
  void NoteStore(monotonic_time now);
  std::vector<std::string> PeerHosts() const;

  void OpenFront(monotonic_time now);

  // ---- Commands ----
  void Answer(scheduler::answer_job& command, monotonic_time& now);
  void GiveBacklog(scheduler::answer_backlog& command, monotonic_time& now);
  void Send(scheduler::send_to_agent& command, monotonic_time& now);
  void Measure(scheduler::job_measured& command, monotonic_time& now);
  void Log(scheduler::decision_record& command, monotonic_time& now);
  void CloseFront(scheduler::close_front& command, monotonic_time& now);
  void FinishDrain(scheduler::drain_finished& command, monotonic_time& now);
  void PerformCommands(monotonic_time now);
  net::http_exchange_ptr TakeExchange(scheduler::caller_token caller);
  net::http_response Metrics();
  net::http_response Configuration(const net::http_request& request) const;
  void LogEvent(std::string_view event,
                bool explains_failure,
                std::vector<event_field> fields,
                monotonic_time now);

  const std::unique_ptr<scheduler::job_scheduler> core_;
  control_parts parts_;
  const std::unique_ptr<telemetry::metrics> metrics_;
  telemetry::event_log log_;
  std::vector<scheduler::scheduler_command> commands_;
  std::unordered_map<scheduler::caller_token, net::http_exchange_ptr> callers_;
  table_follower configuration_table_;
  table_follower members_table_;
  std::map<std::string, wire::entry_member> members_;  // By key of their row.
  std::optional<std::uint64_t> config_version_;
  std::string config_document_;
  bool registered_ = false;
  bool registering_ = false;
  monotonic_time next_registration_{};
  bool asking_peer_ = false;
  monotonic_time next_peer_{};
  std::size_t peer_turn_ = 0;
  bool front_open_ = false;
  bool store_lost_ = false;
  monotonic_time store_lost_at_{};
  std::map<std::string, std::uint64_t> ended_jobs_;  // By metric labels.
};

}  // namespace egretrack::job_entry

#endif  // EGRETRACK_JOB_ENTRY_JOB_ENTRY_CONTROL_H_
