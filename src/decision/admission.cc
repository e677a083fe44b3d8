#include "decision/admission.h"

#include <algorithm>
#include <cmath>

namespace egretrack::decision {
namespace {

struct capacity {
  double slots = 0;           // Of all agents that serve the kind.
  double in_use = 0;          // By this entry.
  double queued_work_us = 0;  // Of kinds that share these agents.
};

capacity Sum(const kind_state& kind) {
  capacity sum;
  for (const entry_agent* agent : kind.agents) {
    if (!agent->serving() || agent->health.ejected())
      continue;
    sum.slots += agent->slots;
    sum.in_use += static_cast<double>(agent->outstanding.size());
  }
  for (const kind_state* other : kind.sharing) {
    // Long work holds back short work only where it has slots already.
    if (other != &kind && other->profile.length() == run_class::kLong)
      continue;
    sum.queued_work_us += static_cast<double>(other->queued_tasks) *
                          static_cast<double>(other->profile.mean().count());
  }
  return sum;
}

}  // namespace

forecast Predict(const kind_state& kind,
                 std::size_t tasks,
                 std::size_t entries) {
  const capacity sum = Sum(kind);
  const double part = sum.slots / static_cast<double>(entries);
  const double usable = std::max({1.0, part, sum.in_use});
  const double rounds =
      std::ceil(static_cast<double>(tasks) / std::max(1.0, sum.slots));
  const auto mean = static_cast<double>(kind.profile.mean().count());
  forecast result;
  result.alone = microseconds(std::llround(rounds * mean));
  result.at_once = rounds <= 1;
  result.backlog = microseconds(std::llround(sum.queued_work_us / usable));
  return result;
}

}  // namespace egretrack::decision
