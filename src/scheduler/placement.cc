#include "scheduler/placement.h"

#include <algorithm>
#include <tuple>

namespace egretrack::scheduler {
namespace {

// Predicted ends are compared in steps of this size, so that the failure domain
// and the free CPU decide between nearly equal candidates.
constexpr microseconds kFinishTimeResolution{20000};

// Predicted waits are too short: other entries dispatch to the same free
// resources before an agent's load report shows it.
constexpr int kWaitWeight = 4;

// Load reports of agents that are not preferred are older, and the more entries
// dispatch to an agent, the less accurate each entry's view of its load is.
constexpr microseconds kNonPreferredPenalty{30000};

auto SortKey(const placement_candidate& candidate) {
  const microseconds penalty =
      candidate.preferred ? microseconds(0) : kNonPreferredPenalty;
  return std::tuple((kWaitWeight * candidate.wait + candidate.run + penalty) /
                        kFinishTimeResolution,
                    !candidate.same_domain, -candidate.free_cpu_milli);
}

}  // namespace

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
