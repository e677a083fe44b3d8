#include "scheduler/placement.h"

#include <algorithm>
#include <tuple>

namespace egretrack::scheduler {
namespace {

// Predicted ends are compared in steps of this size, so that the failure domain
// and the free CPU decide between nearly equal candidates.
constexpr microseconds kFinishTimeResolution{20000};

// Load reports of agents that are not preferred are older, and the more entries
// dispatch to an agent, the less accurate each entry's view of its load is.
constexpr microseconds kNonPreferredPenalty{30000};

auto SortKey(const placement_candidate& candidate) {
  return std::tuple(
      PredictedEnd(candidate, kWaitWeight) / kFinishTimeResolution,
      !candidate.same_domain, -candidate.free_cpu_milli);
}

}  // namespace

microseconds PredictedEnd(const placement_candidate& candidate,
                          double wait_weight) {
  const microseconds penalty =
      candidate.preferred ? microseconds(0) : kNonPreferredPenalty;
  return Scale(candidate.wait, wait_weight) + candidate.run + penalty;
}

std::optional<placement_candidate> ChoosePlacement(
    std::span<const placement_candidate> candidates) {
  const auto earliest = std::ranges::min_element(
      candidates,
      [](const placement_candidate& a, const placement_candidate& b) {
        return SortKey(a) < SortKey(b);
      });
  if (earliest == candidates.end())
    return std::nullopt;
  return *earliest;
}

}  // namespace egretrack::scheduler
