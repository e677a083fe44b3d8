#include "scheduler/worker_health.h"

#include <algorithm>

namespace egretrack::scheduler {
namespace {

// A failure adds 1 to the score and a success subtracts this value: a worker
// that fails a quarter of its runs or more is eventually ejected, whereas
// failures caused by tasks, less than one run in a hundred, do not accumulate.
constexpr double kSuccessRecovery = 1.0 / 3;
constexpr double kEjectionThreshold = 3;
constexpr milliseconds kMinTrialInterval{1000};
constexpr milliseconds kMaxTrialInterval{8000};

}  // namespace

void worker_health::RecordSuccess() {
  failure_score_ = std::max(0.0, failure_score_ - kSuccessRecovery);
  if (!ejected_)
    return;
  ejected_ = false;
  trial_running_ = false;
  failure_score_ = 0;
  trial_interval_ = milliseconds(0);
}

bool worker_health::RecordFailure(monotonic_time now) {
  failure_score_ = std::min(kEjectionThreshold, failure_score_ + 1);
  if (ejected_) {
    if (trial_running_) {
      trial_running_ = false;
      trial_interval_ = std::min(2 * trial_interval_, kMaxTrialInterval);
      next_trial_ = now + trial_interval_;
    }
    return false;
  }
  if (failure_score_ < kEjectionThreshold)
    return false;
  ejected_ = true;
  trial_interval_ = std::max(trial_interval_, kMinTrialInterval);
  next_trial_ = now + trial_interval_;
  return true;
}

void worker_health::RetractFailure() {
  failure_score_ = std::max(0.0, failure_score_ - 1);
  if (ejected_ && failure_score_ < kEjectionThreshold - 1) {
    ejected_ = false;
    trial_running_ = false;
  }
}

}  // namespace egretrack::scheduler
