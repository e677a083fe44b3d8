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

// Wires the parts of the entry's decision core together. The members are
// grouped by the source file that defines them.
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
  // Looks after an outstanding task until its report comes.
  struct watch {
    monotonic_time at;
    std::uint64_t job = 0;
    task_index task = 0;
    dispatch_number dispatch{};
  };
  // Where a caller waits; one of both is set.
  struct waiting_at {
    std::uint64_t job = 0;
    std::uint64_t lookup = 0;
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
  void Begin(monotonic_time now,
             wall_time wall,
             std::vector<entry_command>& commands);
  void End();
  void RunTimers();
  void Tick();
  bool IsStale(const timer& due);
  void OnGraceOver(std::uint64_t subject);
  void CountQuotas();
  void Emit(entry_command command);
  void Send(const entry_agent& agent, wire::entry_message message);
  job_id NewId();
  std::size_t entries() const { return options_.peers.size() + 1; }

  // ---- entry_submission.cc: requests of callers ----------------------------
  void On(submit_request& event);
  void On(job_inquiry& event);
  void On(cancel_request& event);
  void On(caller_gone& event);
  void On(key_bound& event);
  bool IsOurs(const job_id& id) const;
  void Resubmit(submit_request& event, std::uint64_t content_hash);
  bool AttachKnown(job_caller caller,
                   const job_id& id,
                   std::uint64_t content_hash);
  void Accept(submit_request& event, std::uint64_t content_hash);
  std::error_code CheckId(const job_id& id) const;
  refusal CheckSubmission(const submit_request& event);
  refusal CheckContent(const submission& job, const kind_state& kind) const;
  refusal CheckCapacity(const submission& job, kind_state& kind);
  refusal CheckDeadline(const kind_state& kind,
                        const forecast& expected,
                        microseconds allowed) const;
  std::string_view QueueName(std::string_view team) const;
  void Refuse(const submit_request& event,
              std::uint64_t content_hash,
              const refusal& reason);
  void Enqueue(entry_job& job);
  void FollowKey(entry_job& job, const job_id& bound_to);
  void Wait(entry_job& job, job_caller caller);
  void Answer(caller_token caller, job_answer_ptr answer);
  void AnswerPending(caller_token caller, const job_id& id);
  void AnswerUnknown(caller_token caller, const job_id& id, job_errc code);
  void SeekHome(job_caller caller, const job_id& id);

  // ---- entry_agents.cc: frames of agents -----------------------------------
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
  void Describe(entry_agent& agent,
                std::string_view endpoint,
                std::uint32_t slots,
                std::uint64_t config_version,
                bool draining);
  void NoteHeard(entry_agent& agent);
  void LoseOutstanding(entry_agent& agent);
  void QueryOutstanding(const entry_agent& agent);
  void OnStarted(entry_job& job, task_index task, wire::task_report& report);
  void OnRefused(entry_job& job, task_index task, wire::task_report& report);
  void OnFinished(entry_job& job, task_index task, wire::task_report& report);
  void OnFailed(entry_job& job, task_index task, wire::task_report& report);
  void OnCut(entry_job& job, task_index task, wire::task_report& report);
  void JudgeFailure(entry_agent& agent,
                    const kind_state& kind,
                    microseconds run_time,
                    bool trial);
  std::uint32_t QueueLength(const entry_agent& agent) const;

  // ---- entry_dispatch.cc: from the queues to agents ------------------------
  void Pump();
  void ServeAgent(entry_agent& agent);
  void ServeKind(kind_state& kind);
  void ServeAll();
  bool CanTake(const entry_agent& agent, const kind_state& kind) const;
  bool MayTake(const entry_agent& agent, const kind_state& kind) const;
  double LongShare(const kind_state& kind) const;
  entry_job* NextFor(const entry_agent& agent, kind_state& kind);
  void Dispatch(entry_job& job, entry_agent& agent);
  void SendDispatch(const entry_job& job,
                    task_index task,
                    const entry_agent& agent);
  void ReturnToQueue(entry_job& job, task_index task);

  // ---- entry_settlement.cc: from reports and deadlines to answers ----------
  void OnDeadline(std::uint64_t sequence);
  void OnSettleBound(std::uint64_t sequence);
  void RunWatches(std::deque<watch>& watches);
  void Query(const entry_job& job, task_index task);
  void EndDispatch(entry_job& job, task_index task);
  void MarkSettled(entry_job& job, task_index index, task_outcome outcome);
  void Settle(entry_job& job, task_index task, task_outcome outcome);
  void SettleUnknown(entry_job& job, task_index task);
  static bool MayRetry(const entry_job& job);
  void Close(entry_job& job, std::error_code code);
  void CloseQueue(entry_job& job, std::error_code code);
  void LeaveQueue(entry_job& job);
  void EndUnsent(entry_job& job, job_outcome outcome, job_errc code);
  void EndIfSettled(entry_job& job);
  void Finish(entry_job& job, std::shared_ptr<job_answer> answer);
  void CancelAtAgents(const entry_job& job);

  // ---- entry_lookup.cc: jobs whose home is gone ----------------------------
  void On(home_unreachable& event);
  void StartLookup(caller_token caller, const job_id& id);
  void OnLookupBound(std::uint64_t number);
  void EndLookup(lookup& ended);

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
  std::unordered_map<caller_token, waiting_at> callers_;
  timer_queue<timer> timers_;
  std::deque<watch> first_watches_;  // In order of their time.
  std::deque<watch> later_watches_;  // In order of their time.
  std::mt19937_64 random_;
  std::size_t queued_tasks_ = 0;

  // Places that may send or get work since the last Pump.
  std::vector<entry_agent*> ready_agents_;
  std::vector<kind_state*> ready_kinds_;
  std::vector<entry_agent*> candidates_;  // Scratch space of ServeKind.
  bool quota_blocked_ = false;  // Work waits for a quota, not for an agent.
  bool match_agents_ = false;   // Agents or their endpoints changed.
  monotonic_time next_tick_{};
  monotonic_time next_match_{};

  // Arguments of the call that runs.
  monotonic_time now_{};
  wall_time wall_{};
  std::vector<entry_command>* commands_ = nullptr;
};

}  // namespace egretrack::decision

#endif  // EGRETRACK_DECISION_ENTRY_CORE_IMPL_H_
