#include "scheduler/placement.h"

#include <algorithm>
#include <tuple>

namespace egretrack::scheduler {
namespace {

// Ends that differ by less are taken as equal, so that the failure domain and
// the free room decide.
constexpr microseconds kFinishStep{20000};

// Predicted waits are too short, since other entries send tasks to the same
// free room before their effect is seen.
constexpr int kWaitWeight = 4;

auto Rank(const placement_candidate& candidate) {
  return std::tuple(
      (kWaitWeight * candidate.wait + candidate.run) / kFinishStep,
      !candidate.same_domain, -candidate.free_cpu_milli);
}

}  // namespace

std::optional<placement_candidate> ChoosePlacement(
    std::span<const placement_candidate> candidates) {
  const auto earliest = std::ranges::min_element(
      candidates,
      [](const placement_candidate& a, const placement_candidate& b) {
        return Rank(a) < Rank(b);
      });
  if (earliest == candidates.end())
    return std::nullopt;
  return *earliest;
}

}  // namespace egretrack::scheduler
