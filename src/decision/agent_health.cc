#include "decision/agent_health.h"

#include <algorithm>
#include <vector>

namespace egretrack::decision {
namespace {

constexpr double kMaxSamples = 40;  // All weights are halved above it.
constexpr double kMinSamples = 5;
constexpr double kMinFailureRate = 0.5;
constexpr double kMinFailureRateRatio = 3;  // To the desk's median.
constexpr double kFastFailureWeight = 2;
// Run times of one kind vary by a factor of 20. With a gain of 0.1 this
// variance hid the difference between agents.
constexpr double kSlowdownGain = 0.03;
constexpr microseconds kFirstTrialDelay = seconds(1);
constexpr microseconds kMaxTrialInterval = seconds(60);

}  // namespace

void agent_health::RecordSuccess(microseconds run_time, microseconds median) {
  successes_ += 1;
  if (median.count() > 0) {
    const double ratio = static_cast<double>(run_time.count()) /
                         static_cast<double>(median.count());
    const double gain = std::max(kSlowdownGain, 1 / (samples() + 1));
    slowdown_ += gain * (std::clamp(ratio, 0.1, 10.0) - slowdown_);
  }
  if (samples() > kMaxSamples) {
    successes_ /= 2;
    failures_ /= 2;
  }
}

void agent_health::RecordFailure(microseconds run_time, microseconds median) {
  // Fast failures count more, because an agent that fails immediately has free
  // slots sooner and attracts more work than a slow one.
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
  trial_interval_ = kFirstTrialDelay;
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
                 std::span<const agent_health* const> desk_agents) {
  if (candidate.ejected() || candidate.samples() < kMinSamples ||
      candidate.failure_rate() < kMinFailureRate) {
    return false;
  }
  std::vector<double> other_rates;
  std::size_t ejected_count = 0;
  for (const agent_health* agent : desk_agents) {
    ejected_count += agent->ejected() ? 1 : 0;
    if (agent != &candidate && !agent->ejected())
      other_rates.push_back(agent->failure_rate());
  }
  if (other_rates.empty() || (ejected_count + 1) * 2 > desk_agents.size())
    return false;
  const auto median =
      other_rates.begin() + static_cast<std::ptrdiff_t>(other_rates.size() / 2);
  std::nth_element(other_rates.begin(), median, other_rates.end());
  return candidate.failure_rate() > kMinFailureRateRatio * *median;
}

}  // namespace egretrack::decision
