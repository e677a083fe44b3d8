#ifndef EGRETRACK_DECISION_ENTRY_CORE_IMPL_H_
#define EGRETRACK_DECISION_ENTRY_CORE_IMPL_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "decision/admission.h"
#include "decision/agent_table.h"
#include "decision/catalog.h"
#include "decision/entry_drain_lifecycle.h"
#include "decision/job_table.h"
#include "decision/lookup.h"
#include "decision/ordering.h"
#include "decision/retry_budget.h"
#include "decision/routing.h"
#include "decision/timer_queue.h"
#include "egretrack/decision/entry_core.h"

namespace egretrack::decision {

// Implementation of entry_core. The member functions are grouped by the source
// file that defines them.
class entry_core_impl final : public entry_core {
 public:
  explicit entry_core_impl(entry_options options);

  void Handle(entry_event event,
              monotonic_time now,
              wall_time wall,
              std::vector<entry_command>& commands) override;
  monotonic_time Advance(monotonic_time now,
                         wall_time wall,
                         std::vector<entry_command>& commands) override;
  const entry_counters& counters() const override { return counters_; }
  bool ready() const override;

 private:
  struct timer {
    void (entry_core_impl::*handler)(std::uint64_t subject) = nullptr;
    std::uint64_t subject = 0;
  };
  // Scheduled check of an outstanding task, repeated until its report arrives.
  struct task_check {
    monotonic_time due;
    std::uint64_t job_sequence = 0;
    task_index task = 0;
    dispatch_number dispatch{};
  };
  // The job or lookup that a caller waits for; the other one is 0.
  struct caller_wait {
    std::uint64_t job_sequence = 0;
    std::uint64_t lookup_number = 0;
  };
  struct refusal {
    std::error_code code;
    milliseconds retry_after{0};
  };

  using event_handler = void (entry_core_impl::*)(entry_event&);
  template <std::size_t Index>
  void HandleAlternative(entry_event& event) {
    On(std::get<Index>(event));
  }
  template <std::size_t... Index>
  static constexpr auto EventTable(std::index_sequence<Index...>) {
    return std::array<event_handler, sizeof...(Index)>{
        &entry_core_impl::HandleAlternative<Index>...};
  }

  using message_handler = void (entry_core_impl::*)(entry_agent&,
                                                    wire::agent_message&);
  template <std::size_t Index>
  void HandleMessage(entry_agent& agent, wire::agent_message& message) {
    OnMessage(agent, std::get<Index>(message));
  }
  template <std::size_t... Index>
  static constexpr auto MessageTable(std::index_sequence<Index...>) {
    return std::array<message_handler, sizeof...(Index)>{
        &entry_core_impl::HandleMessage<Index>...};
  }

  // ---- entry_core.cc: events, timers, configuration, drain, status --------
  void On(reserve_request& event);
  void On(configuration_received& event);
  void On(drain_entry& event);
  void On(drain_agent& event);
  void On(status_request& event);
  void BeginCall(monotonic_time now,
                 wall_time wall,
                 std::vector<entry_command>& commands);
  void EndCall();
  void RunTimers();
  void Tick();
  bool IsStale(const timer& due);
  void OnGraceOver(std::uint64_t subject);
  void RecountQuotas();
  void Emit(entry_command command);
  void Send(const entry_agent& agent, wire::entry_message message);
  job_id NewId();
  std::size_t entries() const { return options_.peers.size() + 1; }

  // ---- entry_submission.cc: requests of callers ---------------------------
  void On(submit_request& event);
  void On(job_inquiry& event);
  void On(cancel_request& event);
  void On(caller_gone& event);
  void On(key_bound& event);
  bool IsHomeOf(const job_id& id) const;
  void Resubmit(submit_request& event, std::uint64_t content_hash);
  bool AttachToRecord(job_caller caller,
                      const job_id& id,
                      std::uint64_t content_hash);
  void Accept(submit_request& event, std::uint64_t content_hash);
  std::error_code CheckUnrecordedId(const job_id& id) const;
  refusal CheckSubmission(const submit_request& event);
  refusal CheckContent(const submission& job, const kind_state& kind) const;
  refusal CheckCapacity(const submission& job, kind_state& kind);
  refusal CheckDeadline(const kind_state& kind,
                        const forecast& expected,
                        microseconds time_limit) const;
  std::string_view QueueName(std::string_view team) const;
  void Refuse(const submit_request& event,
              std::uint64_t content_hash,
              const refusal& reason);
  void Enqueue(entry_job& job);
  void JoinBoundJob(entry_job& job, const job_id& bound_to);
  void AddCaller(entry_job& job, job_caller caller);
  void Answer(caller_token caller, job_answer_ptr answer);
  void AnswerPending(caller_token caller, const job_id& id);
  void AnswerUnknown(caller_token caller, const job_id& id, job_errc code);
  void ForwardOrLookUp(job_caller caller, const job_id& id);

  // ---- entry_agents.cc: frames from agents --------------------------------
  void On(agent_frame_received& event);
  void OnMessage(entry_agent& agent, wire::hello& message);
  void OnMessage(entry_agent& agent, wire::heartbeat& message);
  void OnMessage(entry_agent& agent, wire::grant& message);
  void OnMessage(entry_agent& agent, wire::recall& message);
  void OnMessage(entry_agent& agent, wire::task_report& message);
  void OnMessage(entry_agent& agent, wire::job_records& message);
  void OnMessage(entry_agent& agent, wire::config_offer& message);
  entry_agent* BindLink(link_id link,
                        connection_number connection,
                        wire::hello& hello);
  void UpdateAgent(entry_agent& agent,
                   std::string_view endpoint,
                   std::uint32_t slots,
                   std::uint64_t config_version,
                   bool draining);
  void RecordContact(entry_agent& agent);
  void MarkOutstandingUnknown(entry_agent& agent);
  void QueryOutstanding(const entry_agent& agent);
  void OnStarted(entry_job& job, task_index task, wire::task_report& report);
  void OnRefused(entry_job& job, task_index task, wire::task_report& report);
  void OnFinished(entry_job& job, task_index task, wire::task_report& report);
  void OnFailed(entry_job& job, task_index task, wire::task_report& report);
  void OnCut(entry_job& job, task_index task, wire::task_report& report);
  void HandleFailure(entry_agent& agent,
                     const kind_state& kind,
                     microseconds run_time,
                     bool trial);
  std::uint32_t QueueLength(const entry_agent& agent) const;

  // ---- entry_dispatch.cc: dispatch of queued tasks ------------------------
  void DispatchReadyWork();
  void DispatchToAgent(entry_agent& agent);
  void DispatchFromKind(kind_state& kind);
  void MarkQueuedKindsReady();
  bool CanReceive(const entry_agent& agent, const kind_state& kind) const;
  bool IsEligible(const entry_agent& agent, const kind_state& kind) const;
  double LongShare(const kind_state& kind) const;
  entry_job* NextJob(const entry_agent& agent, kind_state& kind);
  void Dispatch(entry_job& job, entry_agent& agent);
  void SendDispatch(const entry_job& job,
                    task_index task,
                    const entry_agent& agent);
  void ReturnToQueue(entry_job& job, task_index task);

  // ---- entry_completion.cc: ends of tasks, answers of jobs ----------------
  void OnDeadline(std::uint64_t sequence);
  void OnQueryTimeout(std::uint64_t sequence);
  void RunTaskChecks(std::deque<task_check>& checks);
  void QueryTask(const entry_job& job, task_index task);
  void EndDispatch(entry_job& job, task_index task);
  void SetTaskOutcome(entry_job& job, task_index index, task_outcome outcome);
  void EndTask(entry_job& job, task_index task, task_outcome outcome);
  void RetryOrEndTask(entry_job& job, task_index task);
  static bool MayRetry(const entry_job& job);
  void CloseJob(entry_job& job, std::error_code code);
  void CloseQueuedTasks(entry_job& job, std::error_code code);
  void RemoveFromQueue(entry_job& job);
  void EndUndispatched(entry_job& job, job_outcome outcome, job_errc code);
  void EndIfAllTasksEnded(entry_job& job);
  void Finish(entry_job& job, std::shared_ptr<job_answer> answer);
  void CancelAtAgents(const entry_job& job);

  // ---- entry_lookup.cc: jobs whose home is unreachable --------------------
  void On(home_unreachable& event);
  void StartLookup(caller_token caller, const job_id& id);
  void OnLookupTimeout(std::uint64_t number);
  void EndLookup(lookup& finished);

  entry_options options_;
  entry_counters counters_;
  entry_drain_lifecycle drain_;
  catalog catalog_;
  agent_table agents_;
  job_table jobs_;
  lookup_table lookups_;
  std::unique_ptr<routing_strategy> routing_;
  std::unique_ptr<ordering_strategy> ordering_;
  retry_budget retries_;
  std::unordered_map<caller_token, caller_wait> waiting_callers_;
  timer_queue<timer> timers_;
  std::deque<task_check> first_checks_;     // In order of due time.
  std::deque<task_check> repeated_checks_;  // In order of due time.
  std::mt19937_64 random_;
  std::size_t queued_tasks_ = 0;

  // Agents and kinds that may have work to dispatch since the last
  // DispatchReadyWork.
  std::vector<entry_agent*> ready_agents_;
  std::vector<kind_state*> ready_kinds_;
  std::vector<entry_agent*> candidates_;  // Buffer reused by DispatchFromKind.
  bool quota_blocked_ = false;            // A quota prevented a dispatch.
  bool match_agents_ = false;             // Agents or endpoints changed.
  monotonic_time next_tick_{};
  monotonic_time next_match_{};

  // Arguments of the current Handle or Advance call.
  monotonic_time now_{};
  wall_time wall_{};
  std::vector<entry_command>* commands_ = nullptr;
};

}  // namespace egretrack::decision

#endif  // EGRETRACK_DECISION_ENTRY_CORE_IMPL_H_
