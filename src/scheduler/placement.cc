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

// What is known of other agents is older, and the more entries send to an
// agent, the less each of them knows of its load.
constexpr microseconds kOthersPenalty{30000};

auto Rank(const placement_candidate& candidate) {
  const microseconds penalty =
      candidate.preferred ? microseconds(0) : kOthersPenalty;
  return std::tuple(
      (kWaitWeight * candidate.wait + candidate.run + penalty) / kFinishStep,
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
