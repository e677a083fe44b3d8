#include "scheduler/worker_health.h"

#include <algorithm>

namespace egretrack::scheduler {
namespace {

// A failure counts 1 and a success takes back this much, so that a worker that
// fails a quarter of its runs or more is ejected in the end, while tasks that
// fail by themselves, less than one in a hundred, never add up.
constexpr double kSuccessCredit = 1.0 / 3;
constexpr double kEjectionScore = 3;
constexpr milliseconds kFirstInterval{1000};
constexpr milliseconds kLongestInterval{8000};

}  // namespace

void worker_health::NoteSuccess() {
  score_ = std::max(0.0, score_ - kSuccessCredit);
  if (!ejected_)
    return;
  ejected_ = false;
  trial_running_ = false;
  score_ = 0;
  interval_ = milliseconds(0);
}

bool worker_health::NoteFailure(monotonic_time now) {
  score_ = std::min(kEjectionScore, score_ + 1);
  if (ejected_) {
    if (trial_running_) {
      trial_running_ = false;
      interval_ = std::min(2 * interval_, kLongestInterval);
      next_trial_ = now + interval_;
    }
    return false;
  }
  if (score_ < kEjectionScore)
    return false;
  ejected_ = true;
  interval_ = std::max(interval_, kFirstInterval);
  next_trial_ = now + interval_;
  return true;
}

void worker_health::Forgive() {
  score_ = std::max(0.0, score_ - 1);
  if (ejected_ && score_ < kEjectionScore - 1) {
    ejected_ = false;
    trial_running_ = false;
  }
}

}  // namespace egretrack::scheduler
