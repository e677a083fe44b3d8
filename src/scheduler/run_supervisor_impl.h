#ifndef EGRETRACK_SCHEDULER_RUN_SUPERVISOR_IMPL_H_
#define EGRETRACK_SCHEDULER_RUN_SUPERVISOR_IMPL_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "egretrack/scheduler/evacuation_map.h"
#include "egretrack/scheduler/run_supervisor.h"
#include "scheduler/call_time_limit.h"
#include "scheduler/entry_link.h"
#include "scheduler/run_begin_proof.h"
#include "scheduler/run_end_proof.h"
#include "scheduler/run_table.h"
#include "scheduler/worker_lease.h"
#include "scheduler/worker_revision.h"

namespace egretrack::scheduler {

// State of one worker incarnation.
struct worker_state {
  worker_report report;
  monotonic_time last_contact{};
  bool draining = false;
  bool leaving = false;  // Has deregistered.
  // Latest end sequence received from the worker.
  std::uint64_t last_end_seen = 0;
  // Latest end sequence acknowledged to the worker.
  std::uint64_t last_end_acknowledged = 0;
  // A poll has shown that no run of an earlier agent incarnation is left.
  bool reconciled = false;
  // Something suggests that another worker has taken the place of this one, so
  // that it is polled although nothing runs.
  bool unverified = false;
  // False after a poll has shown a new incarnation of the worker, whose
  // capacity and labels are unknown until its next report.
  bool described = true;
};

// A worker keeps its address and its time of birth until it ends.
bool IsSameWorker(const worker_report& a, const worker_report& b);

// Another worker than the current one, as reported last. It takes the place of
// the current worker once that one has ended.
struct reported_successor {
  worker_report report;
  monotonic_time reported_at{};
};

// Implementation of the run supervisor. The member functions are grouped by the
// source file that defines them.
class run_supervisor_impl final : public run_supervisor {
 public:
  explicit run_supervisor_impl(supervisor_options options);

  void Handle(supervisor_event event,
              monotonic_time now,
              std::vector<supervisor_command>& commands) override;
  monotonic_time Advance(monotonic_time now,
                         std::vector<supervisor_command>& commands) override;
  const supervisor_counters& counters() const override { return counters_; }
  supervisor_gauges gauges() const override;

 private:
  // ---- run_supervisor.cc: events, drain, timers ----------------------------
  void OnEntryFrame(entry_frame& event);
  void OnWorkerReport(worker_report& event);
  void OnWorkerDeregistered(worker_deregistered& event);
  void OnWorkerRestored(worker_restored& event);
  void OnStartAnswered(start_answered& event);
  void OnStopAnswered(stop_answered& event);
  void OnPollAnswered(poll_answered& event);
  void OnEntriesDiscovered(entries_discovered& event);
  void OnDrainRequested(agent_drain_requested& event);
  void AdoptWorker(worker_report report);
  void AppearWorker(worker_report report);
  void ApplyReport(worker_report report);
  void ConsiderSuccessor(worker_report report);
  void DismissSuccessor();
  void BeginCall(monotonic_time now, std::vector<supervisor_command>& commands);
  monotonic_time NextWakeup() const;
  void ExpireQueuedRuns();
  void CheckDrain();
  // Why the dispatch is refused, or nullopt if it is accepted.
  std::optional<wire::run_reason> RefusalReasonOf(
      const wire::run_dispatch& dispatch) const;
  void RecordDecision(decision_kind kind,
                      std::string_view job,
                      std::vector<event_field> fields);

  // ---- run_supervisor_links.cc: frames and heartbeats -----------------------
  void OnHeartbeatReply(wire::beat_reply& message, const entry_index& entry);
  void OnDispatch(wire::run_dispatch& message, const entry_index& entry);
  void OnCancel(wire::run_cancel& message, const entry_index& entry);
  // Time of the next heartbeat on a link that is not closed.
  monotonic_time HeartbeatDue(entry_index entry) const;
  void SendHeartbeat(entry_index entry);
  // Makes a heartbeat to every entry due at once, to report a changed state.
  void ScheduleHeartbeats();
  void SendFrames();
  void SendFrame(entry_index entry, const wire::worker_load& load);
  bool HasLoadChanged(const entry_link& link, const resources& free) const;
  bool IsActive(const entry_link& link) const;
  microseconds LoadReportInterval() const;
  // Worker capacity less the needs of all runs; zero without a worker.
  resources FreeResources() const;
  // Load report for any link, without its `dispatches_seen`.
  wire::worker_load CurrentLoad() const;
  // True if no run can be left of an earlier connection to the entry or of an
  // earlier agent incarnation.
  bool IsSettled(entry_index entry) const;
  void ReportRunEnd(const agent_run& run,
                    wire::run_end end,
                    wire::run_reason reason);

  // ---- run_supervisor_membership.cc: which entries have links --------------
  void AddLinks(std::span<const wire::entry_member> members);
  // Opens the links to the selected entries and leaves the others.
  void UpdateLinks();
  void OpenLink(entry_index entry);
  void Connect(entry_index entry);
  void LeaveLink(entry_index entry);
  void CloseLink(entry_index entry);
  void Reconnect(entry_index entry);
  void OnEntryRestarted(entry_index entry);
  void DropRunsOf(entry_index entry, wire::run_reason reason);
  void CheckLinks();

  // ---- run_supervisor_worker.cc: starts, stops, worker incarnations --------
  void StartRuns();
  void SendStart(agent_run& run);
  void StopRun(agent_run& run, wire::run_reason reason);
  void RefuseRun(std::uint64_t key,
                 wire::run_reason reason,
                 run_begin_proof proof = run_begin_proof::kNotSent);
  void RefuseQueuedRuns(wire::run_reason reason);
  run_evidence EvidenceOf(const agent_run& run) const;
  // Local time by which the run has ended unless its lease is renewed.
  monotonic_time LeaseEnd(const agent_run& run) const;
  // The same for all runs of earlier incarnations of the agent.
  monotonic_time OrphanLeaseEnd() const;
  // Ends the runs at the worker that have certainly ended. `listed` is what the
  // worker answers about those that are not among `running`.
  void EndProvenRuns(const std::optional<listed_run>& listed,
                     const std::set<std::uint64_t>& running = {});
  struct proven_end {
    std::uint64_t key = 0;  // Of the run.
    run_end_proof proof = run_end_proof::kNone;
    run_begin_proof begin = run_begin_proof::kMayHaveBegun;
  };
  void EndProvenRun(const proven_end& end);
  void EndRun(std::uint64_t key,
              wire::run_end end,
              wire::run_reason reason,
              run_end_proof proof);
  void OnStartUnanswered(agent_run& run, std::string_view failure);
  void OnStartRefused(std::uint64_t key,
                      worker_call_result result,
                      run_begin_proof proof);
  void ConfirmStart(agent_run& run);
  void ForgetWorker(decision_kind reason);
  void OnWorkerEnded();
  void OnWorkerRestarted(std::int64_t worker_incarnation);
  bool HasUsableWorker() const;
  // Raises the fencing token if it is the one that the worker refused.
  void RaiseFence(std::uint64_t refused);
  void CheckWorker();

  // ---- run_supervisor_calls.cc: stop calls, time limits of calls ------------
  worker_call_target CallTarget() const;
  void SendStops();
  // Time limit of a start call for the run.
  milliseconds StartLimit(const agent_run& run) const;
  // Sets the time limit of the poll, and may shorten its wait, so that a worker
  // that answers nothing is silent in time.
  void LimitPoll(poll_worker& poll) const;
  // `time` is without the wait of a poll.
  void LearnCallTime(std::string_view call,
                     worker_call_result result,
                     std::optional<microseconds> time,
                     milliseconds limit);
  // Time of the poll in flight that counts, or nullopt if it is unknown.
  std::optional<microseconds> PollTime(const poll_answered& event) const;

  // ---- run_supervisor_evacuation.cc: the evacuated failure domain ----------
  // Applies what an entry knows of evacuations.
  void AdoptEvacuations(const wire::beat_reply& message, entry_index entry);
  void DescribeEvacuations(entry_index entry, wire::agent_beat& heartbeat);
  // Returns the queued tasks while the failure domain is evacuated.
  void ReturnEvacuatedRuns();
  // Makes a heartbeat to the entry due if it lacks what this agent knows.
  void RequestEvacuationHeartbeat(entry_index entry);

  // ---- run_supervisor_polls.cc: polls of the worker's runs -----------------
  void PollWorker();
  void SchedulePoll();
  milliseconds PollRetryDelay(worker_call_result failure) const;
  void CountUnansweredPoll(std::string_view failure);
  void MarkWorkerSilent(std::string_view call, std::string_view failure);
  bool NeedsPoll() const;
  bool MayExtendLease() const;
  void ApplyEnded(const std::vector<ended_row>& ended);
  void ApplyRunning(const std::vector<running_row>& running,
                    bool ends_complete);
  void CheckProgress(agent_run& run, const running_row& row);

  const supervisor_options options_;
  supervisor_counters counters_;
  std::deque<entry_link> links_;    // By entry_index; one for each known entry.
  bool links_changed_ = false;      // UpdateLinks() must run.
  std::uint64_t members_hash_ = 0;  // Of the last list of entries.
  evacuation_map evacuations_;
  bool evacuated_ = false;  // The agent's failure domain is.
  run_table runs_;
  std::optional<worker_state> worker_;
  worker_revision revision_;  // Of `worker_`, as described last.
  std::optional<reported_successor> successor_;
  worker_lease lease_;
  call_time_limit call_limit_;
  std::uint64_t fence_;
  std::uint64_t fence_step_;
  // Started by an earlier incarnation; to be stopped.
  std::set<run_id> orphaned_runs_;
  std::uint32_t starts_in_flight_ = 0;
  bool poll_in_flight_ = false;
  monotonic_time poll_sent_at_{};
  std::uint64_t poll_fence_ = 0;
  std::uint64_t poll_last_end_seen_ = 0;  // Acknowledged by the poll in flight.
  milliseconds poll_wait_{0};             // Of the poll in flight.
  milliseconds poll_limit_{0};            // Without the wait.
  monotonic_time next_poll_{};
  std::uint32_t unanswered_polls_ = 0;  // Consecutive.
  monotonic_time first_unanswered_poll_{};
  // The worker's state is unknown: a connection to it failed, or too many
  // consecutive polls got no response.
  bool worker_silent_ = false;
  bool draining_ = false;
  bool drained_ = false;
  monotonic_time drain_end_{};
  monotonic_time first_event_at_{};  // Time of the first event or wakeup.
  bool has_handled_event_ = false;

  // Arguments of the current call to Handle() or Advance().
  monotonic_time now_{};
  std::vector<supervisor_command>* commands_ = nullptr;
};

}  // namespace egretrack::scheduler

#endif  // EGRETRACK_SCHEDULER_RUN_SUPERVISOR_IMPL_H_
