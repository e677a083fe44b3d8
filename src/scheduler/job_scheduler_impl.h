#ifndef EGRETRACK_SCHEDULER_JOB_SCHEDULER_IMPL_H_
#define EGRETRACK_SCHEDULER_JOB_SCHEDULER_IMPL_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "decision/entry_drain_lifecycle.h"
#include "decision/timer_queue.h"
#include "egretrack/scheduler/job_scheduler.h"
#include "scheduler/placement.h"
#include "scheduler/route_table.h"
#include "scheduler/run_time_model.h"
#include "scheduler/scheduled_job.h"
#include "scheduler/worker_view.h"

namespace egretrack::scheduler {

// Wires the parts of the entry's core together. The members are grouped by the
// source file that defines them.
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
  bool ready() const override;

 private:
  struct refusal {
    job_errc code = job_errc::kOverloaded;
    milliseconds retry_after{0};
    // Of the worker with the earliest predicted end, if workers were compared.
    microseconds wait{0};
    microseconds run{0};
  };
  struct remembered_answer {
    job_state state = job_state::kCompleted;
    job_errc code = job_errc::kNotReady;
    monotonic_time until;
  };

  // ---- job_scheduler.cc: events, configuration, drain, timers --------------
  void OnSubmission(job_submission& event);
  void OnInquiry(job_inquiry& event);
  void OnCancellation(job_cancellation& event);
  void OnCallerGone(caller_disconnected& event);
  void OnFrame(agent_frame& event);
  void OnConfiguration(configuration_received& event);
  void OnMembers(members_received& event);
  void OnDrain(drain_requested& event);
  void Begin(monotonic_time now, std::vector<scheduler_command>& commands);
  monotonic_time NextWake() const;
  void CheckDrain();
  void Emit(scheduler_command command);
  void Record(decision_kind kind,
              std::string_view job,
              std::vector<event_field> fields);

  // ---- job_scheduler_jobs.cc: from submission to answer --------------------
  scheduled_job* FindJob(std::string_view host, std::string_view path);
  bool Attach(const job_submission& event, std::string_view key);
  std::optional<refusal> CheckContent(const job_submission& event) const;
  std::optional<refusal> CheckCapacity(const scheduled_job& job) const;
  std::unique_ptr<scheduled_job> MakeJob(job_submission& event,
                                         const route_match& route) const;
  void Accept(std::unique_ptr<scheduled_job> accepted);
  void Refuse(const job_submission& event,
              std::string_view job_key,
              const refusal& why);
  void TaskDone(scheduled_job& job, std::uint32_t task);
  void TaskWaits(scheduled_job& job, std::uint32_t task);
  void UnblockSteps(scheduled_job& job);
  // Answers the job and drops it.
  void Finish(scheduled_job& job, job_state state, job_errc code);
  void GiveUp(scheduled_job& job, job_errc code);
  void Drop(scheduled_job& job);
  void CancelOutstanding(scheduled_job& job);
  void RememberAnswer(const scheduled_job& job, job_state state, job_errc code);
  void CheckDeadlines();
  void CheckUnoffered();

  // ---- job_scheduler_agents.cc: sessions and reports -----------------------
  void OnBeat(wire::agent_beat& message, worker_view& view);
  void OnReport(wire::run_report& message, worker_view& view);
  worker_view& ViewOf(agent_frame& event);
  void CheckViews();
  // Chooses the agents that this entry works with first.
  void ChoosePreferred();
  void LoseRuns(worker_view& view, bool all);
  void OnLost(scheduled_job& job, std::uint32_t task, wire::run_reason reason);
  void OnDone(scheduled_job& job,
              std::uint32_t task,
              const wire::run_report& report);
  void OnFailed(scheduled_job& job,
                std::uint32_t task,
                const wire::run_report& report);
  void OnReturned(scheduled_job& job,
                  std::uint32_t task,
                  const wire::run_report& report);
  void JudgeFailure(worker_view& view, scheduled_task& task);
  void EndOutstanding(scheduled_job& job, std::uint32_t task);

  // ---- job_scheduler_dispatch.cc: from waiting tasks to agents -------------
  bool IsUsable(const worker_view& view) const;
  bool MayRun(const worker_view& view,
              const scheduled_job& job,
              std::uint32_t task) const;
  std::vector<placement_candidate> Candidates(const scheduled_job& job,
                                              std::uint32_t task) const;
  microseconds Predict(const worker_view& view,
                       const scheduled_job& job,
                       const scheduled_step& step) const;
  void DispatchWaiting(scheduled_job& job);
  bool Dispatch(scheduled_job& job, std::uint32_t task);
  void SendFrames();

  const scheduler_options options_;
  scheduler_counters counters_;
  decision::entry_drain_lifecycle drain_;
  monotonic_time drain_began_{};
  monotonic_time last_submission_{};
  objects::configuration_ptr configuration_;
  route_table routes_;
  std::vector<wire::entry_member> members_;
  std::uint64_t members_hash_ = 0;
  run_time_model run_times_;

  // Views are never dropped while the process lives, so that tasks may point
  // to them; their number is that of the agents ever seen.
  std::map<std::string, std::unique_ptr<worker_view>, std::less<>> views_;
  std::vector<worker_view*> view_list_;  // By placement_candidate::worker.

  std::map<std::uint64_t, std::unique_ptr<scheduled_job>> jobs_;
  std::unordered_map<std::string, scheduled_job*> jobs_by_key_;
  std::unordered_map<caller_token, scheduled_job*> jobs_by_caller_;
  std::set<std::uint64_t> waiting_jobs_;  // With tasks that may be dispatched.
  std::unordered_map<std::string, remembered_answer> answers_;
  std::deque<std::pair<monotonic_time, std::string>> answers_by_age_;
  decision::timer_queue<std::uint64_t> deadlines_;
  std::uint64_t last_job_ = 0;
  std::size_t outstanding_ = 0;
  bool dispatch_again_ = false;  // Agents changed since the last dispatch.
  monotonic_time next_dispatch_{};

  // Arguments of the call that runs.
  monotonic_time now_{};
  std::vector<scheduler_command>* commands_ = nullptr;
};

}  // namespace egretrack::scheduler

#endif  // EGRETRACK_SCHEDULER_JOB_SCHEDULER_IMPL_H_
