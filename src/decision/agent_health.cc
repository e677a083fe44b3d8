#include "decision/agent_health.h"

#include <algorithm>
#include <vector>

namespace egretrack::decision {
namespace {

constexpr double kMaxSamples = 40;  // Beyond it all weights are halved.
constexpr double kMinSamples = 5;
constexpr double kMinFailureRate = 0.5;
constexpr double kFactorOverDesk = 3;  // Times the desk's median rate.
constexpr double kFastFailureWeight = 2;
// Run times of one kind differ by a factor of 20; with a gain of 0.1 they hid
// the difference between agents.
constexpr double kSpeedGain = 0.03;
constexpr microseconds kFirstTrial = seconds(1);
constexpr microseconds kMaxTrialInterval = seconds(60);

}  // namespace

void agent_health::RecordSuccess(microseconds run_time, microseconds median) {
  successes_ += 1;
  if (median.count() > 0) {
    const double ratio = static_cast<double>(run_time.count()) /
                         static_cast<double>(median.count());
    const double gain = std::max(kSpeedGain, 1 / (samples() + 1));
    slowdown_ += gain * (std::clamp(ratio, 0.1, 10.0) - slowdown_);
  }
  if (samples() > kMaxSamples) {
    successes_ /= 2;
    failures_ /= 2;
  }
}

void agent_health::RecordFailure(microseconds run_time, microseconds median) {
  // An agent that fails at once attracts more work than one that is slow.
  const bool fast = run_time * 2 < median;
  failures_ += fast ? kFastFailureWeight : 1;
  if (samples() > kMaxSamples) {
    successes_ /= 2;
    failures_ /= 2;
  }
}

void agent_health::Eject(monotonic_time now) {
  ejected_ = true;
  trial_running_ = false;
  trial_interval_ = kFirstTrial;
  next_trial_ = now + trial_interval_;
}

void agent_health::EndTrial(bool success, monotonic_time now) {
  trial_running_ = false;
  if (success) {
    ejected_ = false;
    successes_ = 1;
    failures_ = 0;
    return;
  }
  trial_interval_ = std::min(2 * trial_interval_, kMaxTrialInterval);
  next_trial_ = now + trial_interval_;
}

double agent_health::failure_rate() const {
  return samples() > 0 ? failures_ / samples() : 0;
}

bool ShouldEject(const agent_health& candidate,
                 std::span<const agent_health* const> desk) {
  if (candidate.ejected() || candidate.samples() < kMinSamples ||
      candidate.failure_rate() < kMinFailureRate) {
    return false;
  }
  std::vector<double> others;
  std::size_t ejected = 0;
  for (const agent_health* member : desk) {
    ejected += member->ejected() ? 1 : 0;
    if (member != &candidate && !member->ejected())
      others.push_back(member->failure_rate());
  }
  if (others.empty() || (ejected + 1) * 2 > desk.size())
    return false;
  const auto middle =
      others.begin() + static_cast<std::ptrdiff_t>(others.size() / 2);
  std::nth_element(others.begin(), middle, others.end());
  return candidate.failure_rate() > kFactorOverDesk * *middle;
}

}  // namespace egretrack::decision
