#ifndef EGRETRACK_SCHEDULER_JOB_SCHEDULER_IMPL_H_
#define EGRETRACK_SCHEDULER_JOB_SCHEDULER_IMPL_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "decision/entry_drain_lifecycle.h"
#include "decision/timer_queue.h"
#include "egretrack/scheduler/evacuation_map.h"
#include "egretrack/scheduler/job_scheduler.h"
#include "scheduler/contact_history.h"
#include "scheduler/job_admission.h"
#include "scheduler/job_memory.h"
#include "scheduler/locality_model.h"
#include "scheduler/locality_wait.h"
#include "scheduler/placement.h"
#include "scheduler/retry_delay.h"
#include "scheduler/route_table.h"
#include "scheduler/run_end_proof.h"
#include "scheduler/run_time_model.h"
#include "scheduler/scheduled_job.h"
#include "scheduler/worker_view.h"

namespace egretrack::scheduler {

// Implements the decision core with the parts that it owns. The member
// functions are grouped by the source file that defines them.
class job_scheduler_impl final : public job_scheduler {
 public:
  explicit job_scheduler_impl(scheduler_options options);

  void Handle(scheduler_event event,
              monotonic_time now,
              std::vector<scheduler_command>& commands) override;
  monotonic_time Advance(monotonic_time now,
                         std::vector<scheduler_command>& commands) override;
  const scheduler_counters& counters() const override { return counters_; }
  scheduler_gauges gauges() const override;
  std::span<const wire::domain_evacuation> evacuations() const override {
    return evacuations_.values();
  }
  const locality_counters_by_kind& locality() const override {
    return locality_counters_;
  }
  bool ready() const override;

 private:
  struct refusal {
    job_errc code = job_errc::kOverloaded;
    // Predictions for the worker with the earliest end, if workers were
    // compared.
    microseconds wait{0};
    microseconds run{0};
    // Earliest end of the whole job, relative to now.
    microseconds predicted_end{0};
  };
  // An evacuated domain to look up among those of the agents.
  struct domain_check {
    monotonic_time due;
    wire::domain_evacuation evacuation;
  };
  // Where a task with an affinity label is sent, if there are workers with and
  // without the label.
  struct locality_placement {
    placement_candidate chosen;
    locality_plan plan;
    placement_candidate near;
    placement_candidate far;
  };
  // A submission that may have been delayed on its way, until the connection of
  // its caller has been looked at again.
  struct delayed_submission {
    job_submission event;
    monotonic_time received_at;
    monotonic_time look_at;
    bool look_pending = false;
    std::size_t memory = 0;  // In bytes, see EstimateJobBytes().
  };
  struct cached_answer {
    job_state state = job_state::kCompleted;
    job_errc code = job_errc::kNotReady;
    monotonic_time expires_at;
  };

  // ---- job_scheduler.cc: events, configuration, drain, timers --------------
  void OnSubmission(job_submission& event);
  void OnInquiry(job_inquiry& event);
  void OnCancellation(job_cancellation& event);
  void OnCallerDisconnected(caller_disconnected& event);
  void OnCallerSeen(caller_seen& event);
  void OnFrame(agent_frame& event);
  void OnConfiguration(configuration_received& event);
  void OnMembers(members_received& event);
  void OnDrain(drain_requested& event);
  void BeginCall(monotonic_time now, std::vector<scheduler_command>& commands);
  monotonic_time NextWakeup() const;
  void CheckDrain();
  void Emit(scheduler_command command);
  void RecordDecision(decision_kind kind,
                      std::string_view job,
                      std::vector<event_field> fields);

  // ---- job_scheduler_jobs.cc: from submission to answer --------------------
  // Attaches the caller to a known job, or accepts or refuses a new one.
  void Submit(job_submission& event, const route_match& route);
  scheduled_job* FindJob(std::string_view host, std::string_view path);
  bool AttachCaller(const job_submission& event, std::string_view key);
  std::unique_ptr<scheduled_job> MakeJob(job_submission& event,
                                         const route_match& route) const;
  void Accept(std::unique_ptr<scheduled_job> accepted);
  void CompleteTask(scheduled_job& job, std::uint32_t task);
  void EnqueueTask(scheduled_job& job, std::uint32_t task);
  void UnblockSteps(scheduled_job& job);
  // Answers the job and removes it.
  void FinishJob(scheduled_job& job, job_state state, job_errc code);
  void AbandonJob(scheduled_job& job, job_errc code);
  void RemoveJob(scheduled_job& job);
  void CancelOutstanding(scheduled_job& job);
  void CacheAnswer(const scheduled_job& job, job_state state, job_errc code);
  void ExpireDeadlines();

  // ---- job_scheduler_delays.cc: submissions that may have been delayed ------
  bool MayBeDelayed(const job_submission& event);
  void DelaySubmission(job_submission& event);
  // Handles the delayed submission whose caller was seen, if there is one.
  bool ResumeSubmission(const caller_seen& event);
  bool DropDelayedSubmission(caller_token caller);
  void RefuseDelayedSubmissions(job_errc code);
  void LookAtDelayedCallers();
  monotonic_time NextDelayedLook() const;
  // Records that the agent is heard of.
  void RecordContact(worker_view& view);
  void ObserveContacts();

  // ---- job_scheduler_admission.cc: whether a job is accepted ----------------
  std::optional<refusal> CheckContent(const job_submission& event) const;
  std::vector<step_place> FindPlaces(const scheduled_job& job,
                                     const scheduled_step& step) const;
  std::optional<refusal> CheckCapacity(const scheduled_job& job);
  // Returns the retry delay of a refusal, reports it to the metrics and adds
  // what decided to the fields of the record.
  milliseconds DecideRetry(std::string_view kind,
                           std::string_view job_key,
                           job_errc code,
                           std::vector<event_field>& fields);
  void Refuse(const job_submission& event,
              std::string_view kind,
              std::string_view job_key,
              const refusal& reason);

  // ---- job_scheduler_agents.cc: sessions and reports -----------------------
  void OnHeartbeat(wire::agent_beat& message, worker_view& view);
  void OnReport(wire::run_report& message, worker_view& view);
  // Answers the heartbeats of a frame that begins no session.
  void AnswerWithoutSession(worker_view& view,
                            const agent_frame& event,
                            bool reconnect);
  wire::beat_reply MakeReply(const wire::agent_beat& heartbeat) const;
  worker_view& FindOrAddView(agent_frame& event);
  bool IsSilent(const worker_view& view) const;
  void CheckAgentTimeouts();
  // Selects the agents that this entry prefers for its dispatches.
  void SelectPreferredAgents();
  void EndProvenDispatches(worker_view& view, bool settled);
  dispatch_evidence EvidenceOf(const worker_view& view,
                               const scheduled_task& task) const;
  void OnRunLost(scheduled_job& job,
                 std::uint32_t task,
                 wire::run_reason reason,
                 run_end_proof proof);
  void OnRunDone(scheduled_job& job,
                 std::uint32_t task,
                 const wire::run_report& report);
  void OnRunFailed(scheduled_job& job,
                   std::uint32_t task,
                   const wire::run_report& report);
  void OnTaskReturned(scheduled_job& job,
                      std::uint32_t task,
                      const wire::run_report& report);
  void AttributeFailure(worker_view& view, scheduled_task& task);
  void EndDispatch(scheduled_job& job, std::uint32_t task);

  // ---- job_scheduler_evacuations.cc: evacuated failure domains -------------
  void OnEvacuations(evacuations_received& event);
  void OnAgentEvacuations(const wire::agent_beat& message, worker_view& view);
  // Applies changes of the map to the views and tells the agents.
  void AdoptEvacuations(std::string_view source);
  void UpdateEvacuated(worker_view& view);
  // Handles a task that the agent returned because its domain is evacuated.
  void OnEvacuatedReturn(worker_view& view);
  void SendEvacuations(worker_view& view);
  void RecordLeftOutEvacuations();
  // Whether only workers of evacuated domains can run a step of the job.
  bool NeedsEvacuatedWorker(const scheduled_job& job) const;
  // Whether the worker's domain has returned so recently that this entry's
  // share of it is used up.
  bool IsShareUsedUp(const worker_view& view, const resources& need) const;
  void RecordUnknownDomains();

  // ---- job_scheduler_dispatch.cc: from waiting tasks to agents -------------
  bool IsUsable(const worker_view& view) const;
  // Whether the worker could run the step if it were free and its domain not
  // evacuated.
  bool CanRun(const worker_view& view,
              const scheduled_job& job,
              const job_step& step) const;
  bool IsEligible(const worker_view& view,
                  const scheduled_job& job,
                  std::uint32_t task) const;
  std::vector<placement_candidate> FindCandidates(const scheduled_job& job,
                                                  std::uint32_t task) const;
  microseconds PredictRunTime(const worker_view& view,
                              const scheduled_job& job,
                              const scheduled_step& step) const;
  // Dispatches waiting tasks, those of the jobs with the earliest target
  // first.
  void DispatchWaitingJobs();
  void DispatchWaitingTasks(scheduled_job& job);
  // Whether tasks of the job may start; has the caller looked for if it was not
  // seen lately.
  bool IsCallerPresent(scheduled_job& job);
  bool DispatchTask(scheduled_job& job, std::uint32_t task);
  void RefuseUndispatchedJobs();
  void SendFrames();

  // ---- job_scheduler_locality.cc: workers near a task's data ---------------
  std::optional<locality_placement> PlaceByLocality(
      scheduled_job& job,
      std::uint32_t task,
      std::span<const placement_candidate> candidates);
  void RecordLocalityDispatch(scheduled_job& job,
                              std::uint32_t task,
                              const placement_candidate& chosen,
                              const std::optional<locality_placement>& placed,
                              microseconds queue_bound,
                              std::vector<event_field>& fields);
  void RecordNearReturn(scheduled_job& job,
                        std::uint32_t task,
                        const wire::run_report& report);
  void ObserveRunTime(const scheduled_job& job,
                      const scheduled_task& task,
                      const wire::run_report& report);
  // Learns from a run that is stopped now.
  void ObserveStoppedRun(const scheduled_job& job, const scheduled_task& task);

  const scheduler_options options_;
  scheduler_counters counters_;
  decision::entry_drain_lifecycle drain_;
  monotonic_time drain_started_at_{};
  monotonic_time last_submission_{};
  objects::configuration_ptr configuration_;
  route_table routes_;
  std::vector<wire::entry_member> members_;
  std::uint64_t members_hash_ = 0;
  run_time_model run_times_;
  contact_history contact_history_;
  evacuation_map evacuations_;
  std::deque<domain_check> domain_checks_;  // Ordered by time.
  retry_delay retry_delay_;
  job_admission admission_;
  locality_model locality_model_;
  reluctance_sequence reluctances_;
  job_memory job_memory_;
  locality_counters_by_kind locality_counters_;

  // Views are never removed, so that tasks can point to them; there is one for
  // each agent that ever connected.
  std::map<std::string, std::unique_ptr<worker_view>, std::less<>> views_;
  // Indexed by placement_candidate::view_index.
  std::vector<worker_view*> view_list_;

  std::map<std::uint64_t, std::unique_ptr<scheduled_job>> jobs_;
  std::unordered_map<std::string, scheduled_job*> jobs_by_key_;
  std::unordered_map<caller_token, scheduled_job*> jobs_by_caller_;
  std::unordered_map<caller_token, delayed_submission> delayed_submissions_;
  std::set<std::uint64_t> waiting_jobs_;  // With tasks in phase kWaiting.
  std::unordered_map<std::string, cached_answer> cached_answers_;
  std::deque<std::pair<monotonic_time, std::string>> cached_answer_expiry_;
  std::size_t cached_key_bytes_ = 0;  // In cached_answer_expiry_.
  decision::timer_queue<std::uint64_t> deadlines_;
  std::uint64_t last_job_number_ = 0;
  std::size_t outstanding_ = 0;
  bool dispatch_needed_ = false;  // Agents or tasks changed.
  monotonic_time next_dispatch_retry_{};

  // Arguments of the current call.
  monotonic_time now_{};
  std::vector<scheduler_command>* commands_ = nullptr;
};

}  // namespace egretrack::scheduler

#endif  // EGRETRACK_SCHEDULER_JOB_SCHEDULER_IMPL_H_
