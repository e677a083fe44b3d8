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
#include "egretrack/net/limit_report.h"
#include "egretrack/net/traffic_guard.h"
#include "egretrack/scheduler/job_scheduler.h"
#include "egretrack/telemetry/event_log.h"
#include "egretrack/telemetry/metrics.h"
#include "job_entry/peer_cancellations.h"
#include "job_entry/table_follower.h"
#include "platform/store_client.h"

namespace egretrack::job_entry {

// A decoded request of a caller.
struct caller_request {
  scheduler::caller_token caller{};
  net::http_exchange_ptr exchange;
  scheduler::scheduler_event event;
};

struct configuration_read {
  table_read read;
};
struct members_read {
  table_read read;
};
// Result of writing this entry's row to the entries table.
struct registration_result {
  result<std::uint64_t> version;
};
// A newer configuration of another entry; std::nullopt if it has none.
struct peer_configuration {
  result<std::optional<std::string>> document;
};
struct seeds_changed {
  std::vector<std::string> hosts;
};
// The answer of another entry to a cancellation that was sent on to it.
struct peer_cancel_result {
  peer_cancellation call;
  peer_cancel_answer answer = peer_cancel_answer::kNone;
};

// Path on the internal port at which entries send cancellations on, with the
// host and the path of the caller's request as query parameters.
inline constexpr std::string_view kCancelPath = "/v1/jobs/cancel";

// Requests of other processes and operators to the internal port.
enum class internal_query : std::uint8_t {
  kMetrics,
  kConfiguration,
  kEvacuations,
};
struct internal_request {
  internal_query query = internal_query::kMetrics;
  net::http_exchange_ptr exchange;
};

using control_event = std::variant<caller_request,
                                   scheduler::scheduler_event,
                                   configuration_read,
                                   members_read,
                                   registration_result,
                                   peer_configuration,
                                   seeds_changed,
                                   internal_request,
                                   peer_cancel_result>;
using control_mailbox = mailbox<control_event>;

// Counted by traffic threads.
struct traffic_counters {
  std::atomic<std::uint64_t> malformed_frames{0};
  std::atomic<std::uint64_t> bad_requests{0};
  std::atomic<std::uint64_t> dropped_requests{0};  // The mailbox was full.
  // Jobs whose caller had left before the request was read.
  std::atomic<std::uint64_t> abandoned_requests{0};
};

// Objects and settings that the control thread uses. The referenced objects
// outlive it.
struct control_dependencies {
  wire::entry_member self;
  std::uint16_t internal_port = 0;  // The same for every entry.
  control_mailbox& events;
  platform::store_client& store;
  net::http_client& peers;
  net::frame_router& agents;
  const traffic_counters& traffic;
  const net::traffic_guard& guard;
  std::atomic<bool>& ready;
  // Starts to accept callers; called once, when the entry can serve them.
  std::function<result<void>()> open_front;
  std::function<void()> close_front;
  std::function<void()> on_drained;
  milliseconds store_watch{0};
  std::vector<std::string> seed_hosts;
};

// The part of the process that runs on the control thread: passes events to the
// decision core and executes its commands.
class job_entry_control {
 public:
  job_entry_control(std::unique_ptr<scheduler::job_scheduler> core,
                    control_dependencies dependencies);

  // Batch handler of the control loop; returns the time of the next call.
  monotonic_time OnBatch(std::span<control_event> batch, monotonic_time now);

 private:
  // ---- Events ----
  void OnCallerRequest(caller_request& event, monotonic_time& now);
  void OnSchedulerEvent(scheduler::scheduler_event& event, monotonic_time& now);
  void OnConfigurationRead(configuration_read& event, monotonic_time& now);
  void OnMembersRead(members_read& event, monotonic_time& now);
  void OnRegistrationResult(registration_result& event, monotonic_time& now);
  void OnPeerConfiguration(peer_configuration& event, monotonic_time& now);
  void OnSeedsChanged(seeds_changed& event, monotonic_time& now);
  void OnInternalRequest(internal_request& event, monotonic_time& now);
  void OnPeerCancelResult(peer_cancel_result& event, monotonic_time& now);

  // ---- Store and peers ----
  void AdoptConfiguration(std::string_view document,
                          std::string_view source,
                          monotonic_time now);
  void Register(monotonic_time now);
  monotonic_time RequestPeerConfiguration(monotonic_time now);
  void TrackStoreAvailability(monotonic_time now);
  std::vector<std::string> PeerHosts() const;

  // Passes the rows of the operator's table that evacuate domains.
  void PassEvacuations(const table_change& change, monotonic_time now);
  void ApplyMemberRow(const platform::store_row& row, monotonic_time now);
  void LogInvalidRows(std::string_view table,
                      std::span<const platform::invalid_row> rows,
                      monotonic_time now);
  void OpenFront(monotonic_time now);

  // ---- Commands ----
  void AnswerJob(scheduler::answer_job& command, monotonic_time& now);
  void AnswerBacklog(scheduler::answer_backlog& command, monotonic_time& now);
  void CancelAtPeers(scheduler::cancel_at_peers& command, monotonic_time& now);
  void SendPeerCancellation(const peer_cancellation& call);
  void CheckCaller(scheduler::check_caller& command, monotonic_time& now);
  void SendToAgent(scheduler::send_to_agent& command, monotonic_time& now);
  void RecordJobMetrics(scheduler::job_metrics& command, monotonic_time& now);
  void RecordRefusal(scheduler::refusal_metrics& command, monotonic_time& now);
  void LogDecision(scheduler::decision_record& command, monotonic_time& now);
  void CloseFront(scheduler::close_front& command, monotonic_time& now);
  void FinishDrain(scheduler::drain_finished& command, monotonic_time& now);
  void PerformCommands(monotonic_time now);
  net::http_exchange_ptr RemoveExchange(scheduler::caller_token caller);
  net::http_response Metrics();
  void SetLocalityMetrics();
  void AddLimitMetrics();
  void ReportLimits(monotonic_time now);
  net::http_response Configuration(const net::http_request& request) const;
  void LogEvent(std::string_view event,
                bool explains_failure,
                std::vector<event_field> fields,
                monotonic_time now);

  const std::unique_ptr<scheduler::job_scheduler> core_;
  control_dependencies dependencies_;
  const std::unique_ptr<telemetry::metrics> metrics_;
  telemetry::event_log log_;
  net::limit_report limit_report_;
  std::vector<scheduler::scheduler_command> commands_;
  std::unordered_map<scheduler::caller_token, net::http_exchange_ptr>
      exchanges_;
  table_follower configuration_table_;
  table_follower members_table_;
  std::map<std::string, wire::entry_member> members_;  // By row key.
  std::uint64_t invalid_rows_ = 0;  // Rows of the store that were left out.
  std::optional<std::uint64_t> config_version_;
  std::string config_document_;
  bool registered_ = false;
  bool registration_in_flight_ = false;
  monotonic_time next_registration_{};
  bool peer_request_in_flight_ = false;
  bool peer_request_repeated_ = false;
  monotonic_time next_peer_request_{};
  std::size_t peer_index_ = 0;
  peer_cancellations peer_cancellations_;
  bool front_open_ = false;
  bool store_unreachable_ = false;
  monotonic_time store_unreachable_since_{};
  std::map<std::string, std::uint64_t> job_outcome_counts_;  // By labels.
  std::map<std::string, std::uint64_t> refusal_counts_;      // By labels.
};

}  // namespace egretrack::job_entry

#endif  // EGRETRACK_JOB_ENTRY_JOB_ENTRY_CONTROL_H_
