#include "scheduler/locality_wait.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>

namespace egretrack::scheduler {
namespace {

// Predicted waits are too short under load (see kWaitWeight). Around that
// weight the decision varies with the task's reluctance: a rack whose queue
// grows loses a rising share of its tasks instead of all of them at one length.
constexpr double kMinWaitWeight = 0.5 * kWaitWeight;
constexpr double kMaxWaitWeight = 1.5 * kWaitWeight;
// A far run that ends after the target loses most of its worth, so a wait is
// then given half the weight.
constexpr double kLateFarWeightShare = 0.5;
// Largest share by which reluctance shortens a wait.
constexpr double kReluctantWaitCut = 0.25;
// Share by which run times exceed predictions, as callers' estimates are off by
// about 40 %. A far run that would be on time only by its prediction is mostly
// late, and the task would leave a short queue for it.
constexpr double kRunTimeError = 0.4;
// Time until a task that is returned from a queue reaches another agent.
constexpr milliseconds kReturnTime{15};

// Increment with the most even spread of multiples modulo 1.
constexpr double kGoldenRatio = 0.6180339887498949;

bool EndsBy(const placement_candidate& candidate, microseconds limit) {
  return candidate.wait + candidate.run <= limit;
}

// A far run on a full worker delays the tasks that are near there by the time
// that it takes longer; without this, far runs of a hot label push the tasks
// of other labels away from their data in turn.
microseconds FarEnd(const locality_options& options) {
  microseconds end = PredictedEnd(options.far, kWaitWeight);
  if (options.far.wait > microseconds(0)) {
    end += std::max(options.far.run - options.near.run, microseconds(0));
  }
  return end;
}

locality_decision NearDecision(const locality_options& options) {
  return options.near.wait <= microseconds(0) ? locality_decision::kNearNow
                                              : locality_decision::kNearWait;
}

microseconds LongestWait(const locality_options& options,
                         microseconds far_end,
                         bool far_on_time) {
  const microseconds near_start_cost = PredictedEnd(options.near, 0);
  microseconds longest = far_end - near_start_cost;
  if (far_on_time) {
    longest = std::min(longest, options.time_to_target - far_end - kReturnTime);
  }
  // A far start after the wait must still end by the deadline.
  longest = std::min(longest, options.time_to_deadline - options.far.wait -
                                  options.far.run - kReturnTime);
  return Scale(longest, 1 - kReluctantWaitCut * options.reluctance);
}

// Without a far run that ends by the deadline, a wait pays as long as the near
// run can end by then.
microseconds LongestWaitWithoutFar(const locality_options& options) {
  return options.time_to_deadline - Scale(options.near.run, kStartByShare);
}

}  // namespace

std::string_view Name(locality_decision decision) {
  static constexpr std::array<std::string_view, 3> kNames{
      "near_now", "near_wait", "far_now"};
  return kNames[static_cast<std::size_t>(decision)];
}

locality_plan DecideLocality(const locality_options& options) {
  const microseconds far_end = FarEnd(options);
  const bool far_on_time =
      far_end + Scale(options.far.run, kRunTimeError) <= options.time_to_target;
  double weight = std::lerp(kMinWaitWeight, kMaxWaitWeight, options.reluctance);
  if (!far_on_time)
    weight *= kLateFarWeightShare;
  const microseconds near_end = PredictedEnd(options.near, weight);

  locality_plan plan;
  plan.gain = far_end - near_end;
  const bool far_can_start =
      Scale(options.far.run, kStartByShare) <= options.time_to_deadline;
  const bool far_ends_in_time = EndsBy(options.far, options.time_to_deadline);
  const bool only_near_ends_in_time =
      !far_ends_in_time && EndsBy(options.near, options.time_to_deadline);
  const microseconds longest = far_ends_in_time
                                   ? LongestWait(options, far_end, far_on_time)
                                   : LongestWaitWithoutFar(options);
  plan.longest_wait =
      std::max<microseconds>(longest - options.wait_used, microseconds(0));
  if (!far_can_start || only_near_ends_in_time) {
    plan.longest_wait = longest;
    plan.decision = NearDecision(options);
  } else if (near_end <= far_end && options.near.wait <= plan.longest_wait) {
    plan.decision = NearDecision(options);
  }
  return plan;
}

// A worker that was taken for free and is not has been taken by another entry.
// The task is then returned as early as usual, as another near worker may be
// free.
microseconds QueueBoundByPlan(const locality_plan& plan,
                              microseconds usual_bound) {
  switch (plan.decision) {
    case locality_decision::kNearNow:
      return std::min(usual_bound, plan.longest_wait);
    case locality_decision::kNearWait:
      return plan.longest_wait;
    case locality_decision::kFarNow:
      return usual_bound;
  }
  return usual_bound;
}

reluctance_sequence::reluctance_sequence(std::string_view entry)
    : last_(static_cast<double>(std::hash<std::string_view>()(entry) % 1000) /
            1000) {}

double reluctance_sequence::Next() {
  last_ += kGoldenRatio;
  last_ -= std::floor(last_);
  return last_;
}

}  // namespace egretrack::scheduler
