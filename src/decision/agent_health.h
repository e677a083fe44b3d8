#ifndef EGRETRACK_DECISION_AGENT_HEALTH_H_
#define EGRETRACK_DECISION_AGENT_HEALTH_H_

#include <cstdint>
#include <span>

#include "egretrack/base/time.h"

namespace egretrack::decision {

// Recent failure rate, slowdown and ejection state of one agent. An ejected
// agent gets no work except single trial tasks until one succeeds.
class agent_health {
 public:
  // `run_time` is compared with the median of the task's kind.
  void RecordSuccess(microseconds run_time, microseconds median);
  void RecordFailure(microseconds run_time, microseconds median);

  void Eject(monotonic_time now);
  // Records that a trial task was sent. No other trial is due until it ends.
  void StartTrial() { trial_running_ = true; }
  // Ends the trial. A success readmits the agent; a failure doubles the time to
  // the next trial.
  void EndTrial(bool success, monotonic_time now);
  // Ends the trial without a result for the agent.
  void AbandonTrial() { trial_running_ = false; }

  bool ejected() const { return ejected_; }
  bool trial_running() const { return trial_running_; }
  bool IsTrialDue(monotonic_time now) const {
    return ejected_ && !trial_running_ && now >= next_trial_;
  }
  double failure_rate() const;
  double samples() const { return successes_ + failures_; }
  // Smoothed ratio of the run time to the median of the task's kind.
  double slowdown() const { return slowdown_; }

 private:
  double successes_ = 0;
  double failures_ = 0;
  double slowdown_ = 1;
  bool ejected_ = false;
  bool trial_running_ = false;
  microseconds trial_interval_{0};
  monotonic_time next_trial_{};
};

// Returns true when `candidate` fails far more often than the other agents of
// its desk and its ejection leaves at least half of the agents in service.
// `desk_agents` lists all agents of the desk, including `candidate`.
bool ShouldEject(const agent_health& candidate,
                 std::span<const agent_health* const> desk_agents);

}  // namespace egretrack::decision

#endif  // EGRETRACK_DECISION_AGENT_HEALTH_H_
