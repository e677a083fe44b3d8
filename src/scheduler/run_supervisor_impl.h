#ifndef EGRETRACK_SCHEDULER_RUN_SUPERVISOR_IMPL_H_
#define EGRETRACK_SCHEDULER_RUN_SUPERVISOR_IMPL_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "egretrack/scheduler/run_supervisor.h"
#include "scheduler/entry_link.h"
#include "scheduler/run_table.h"
#include "scheduler/worker_lease.h"

namespace egretrack::scheduler {

// One life of the worker.
struct worker_life {
  worker_report facts;
  monotonic_time heard{};
  bool draining = false;
  std::uint64_t seen = 0;   // Ends up to this number are known.
  std::uint64_t acked = 0;  // ... and the worker was told so.
  bool reconciled = false;  // A look has shown what it ran before.
};

// Wires the parts of the agent's core together. The members are grouped by the
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
  void OnFrame(entry_frame& event);
  void OnWorkerReport(worker_report& event);
  void OnWorkerLeft(worker_left& event);
  void OnWorkerRecalled(worker_recalled& event);
  void OnStartAnswered(start_answered& event);
  void OnStopAnswered(stop_answered& event);
  void OnLookAnswered(look_answered& event);
  void OnEntriesFound(entries_found& event);
  void OnDrain(agent_drain_requested& event);
  void TakeReport(worker_report& report);
  void Begin(monotonic_time now, std::vector<supervisor_command>& commands);
  monotonic_time NextWake() const;
  void ExpireQueued();
  void CheckDrain();
  // Why a dispatch is refused now; nothing when it is taken.
  std::optional<wire::run_reason> RefusesWork() const;
  void Record(decision_kind kind,
              std::string_view job,
              std::vector<event_field> fields);

  // ---- run_supervisor_links.cc: entries ------------------------------------
  void OnBeatReply(wire::beat_reply& message, const entry_index& entry);
  void OnDispatch(wire::run_dispatch& message, const entry_index& entry);
  void OnCancel(wire::run_cancel& message, const entry_index& entry);
  void AddLinks(const std::vector<wire::entry_member>& members);
  void CloseLinks(const std::vector<wire::entry_member>& members);
  void Reconnect(entry_index entry);
  void DropRunsOf(entry_index entry, wire::run_reason reason);
  void CheckLinks();
  void SendBeat(entry_index entry);
  // Lets every entry know at once what has changed.
  void BeatSoon();
  void SendFrames();
  void SendFrame(entry_index entry, const wire::worker_load& load);
  bool HasLoadNews(const entry_link& link, const resources& free) const;
  bool IsActive(const entry_link& link) const;
  microseconds LoadInterval() const;
  // The worker's room less what runs and waits; nothing without a worker.
  resources Free() const;
  // Of every link, but for the dispatches seen on it.
  wire::worker_load Load() const;
  bool IsSettled(entry_index entry) const;
  void Report(const agent_run& run, wire::run_end end, wire::run_reason reason);

  // ---- run_supervisor_worker.cc: orders and the worker's life --------------
  void StartRuns();
  void OrderStart(agent_run& run);
  void OrderStops();
  void Stop(agent_run& run, wire::run_reason reason);
  void Refuse(std::uint64_t number, wire::run_reason reason);
  void RefuseQueued(wire::run_reason reason);
  void End(std::uint64_t number, wire::run_end end, wire::run_reason reason);
  void Confirm(agent_run& run);
  void LoseAllRuns(wire::run_reason reason);
  void ForgetWorker(decision_kind why);
  void RaiseFence();
  void CheckWorker();
  order_target Target() const;

  // ---- run_supervisor_looks.cc: what the worker runs -----------------------
  void Look();
  void LookSoon();
  void CountUnansweredLook();
  bool WantsLook() const;
  bool MayExtendLease() const;
  void TakeEnds(const std::vector<ended_row>& ended);
  void TakeRunning(const std::vector<running_row>& running);
  void CheckProgress(agent_run& run, const running_row& row);

  const supervisor_options options_;
  supervisor_counters counters_;
  std::deque<entry_link> links_;  // By entry_index.
  std::vector<wire::entry_member> members_;
  std::uint64_t members_hash_ = 0;
  run_table runs_;
  std::optional<worker_life> worker_;
  worker_lease lease_;
  std::uint64_t fence_;
  std::uint64_t fence_step_;
  std::set<run_name>
      foreign_;  // Runs of an earlier incarnation, to be stopped.
  std::uint32_t orders_in_flight_ = 0;
  bool look_in_flight_ = false;
  monotonic_time look_sent_{};
  std::uint64_t look_seen_ = 0;  // What the look in flight acknowledges.
  monotonic_time next_look_{};
  std::uint32_t looks_unanswered_ = 0;  // In a row.
  monotonic_time first_unanswered_look_{};
  // So many got no answer that the worker's state is not known any more.
  bool worker_silent_ = false;
  bool draining_ = false;
  bool drained_ = false;
  monotonic_time drain_end_{};
  monotonic_time born_{};  // First event.
  bool begun_ = false;

  // Arguments of the call that runs.
  monotonic_time now_{};
  std::vector<supervisor_command>* commands_ = nullptr;
};

}  // namespace egretrack::scheduler

#endif  // EGRETRACK_SCHEDULER_RUN_SUPERVISOR_IMPL_H_
