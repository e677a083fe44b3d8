#ifndef EGRETRACK_DECISION_AGENT_HEALTH_H_
#define EGRETRACK_DECISION_AGENT_HEALTH_H_

#include <cstdint>
#include <span>

#include "egretrack/base/time.h"

namespace egretrack::decision {

// Recent success, slowdown and ejection state of one agent.
class agent_health {
 public:
  // `run_time` is compared with the median of the task's kind.
  void RecordSuccess(microseconds run_time, microseconds median);
  void RecordFailure(microseconds run_time, microseconds median);

  void Eject(monotonic_time now);
  // The trial task was sent; no further one until it ends.
  void StartTrial() { trial_running_ = true; }
  // A trial ended. A failure doubles the time to the next one.
  void EndTrial(bool success, monotonic_time now);
  // The trial ended without saying anything about the agent.
  void AbandonTrial() { trial_running_ = false; }

  bool ejected() const { return ejected_; }
  bool trial_running() const { return trial_running_; }
  bool IsTrialDue(monotonic_time now) const {
    return ejected_ && !trial_running_ && now >= next_trial_;
  }
  double failure_rate() const;
  double samples() const { return successes_ + failures_; }
  double slowdown() const {
    return slowdown_;
  }  // Run time over the kind's median.

 private:
  double successes_ = 0;
  double failures_ = 0;
  double slowdown_ = 1;
  bool ejected_ = false;
  bool trial_running_ = false;
  microseconds trial_interval_{0};
  monotonic_time next_trial_{};
};

// True when `candidate` fails far more often than the other agents of its
// desk and ejecting it leaves at least half of them in service.
// `desk` lists all agents of the desk, `candidate` included.
bool ShouldEject(const agent_health& candidate,
                 std::span<const agent_health* const> desk);

}  // namespace egretrack::decision

#endif  // EGRETRACK_DECISION_AGENT_HEALTH_H_
