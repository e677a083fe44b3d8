#include "decision/admission.h"

#include <algorithm>
#include <cmath>

namespace egretrack::decision {
namespace {

double MeanOf(const kind_state& kind) {
  return static_cast<double>(kind.profile.mean().count());
}

struct capacity {
  double slots = 0;   // Of all agents that serve the kind.
  double in_use = 0;  // By this entry.
};

capacity CapacityFor(const kind_state& kind, double slot_share) {
  capacity sum;
  for (const entry_agent* agent : kind.agents) {
    if (!agent->serving() || agent->health.ejected())
      continue;
    sum.slots += agent->slots;
    sum.in_use += static_cast<double>(agent->outstanding.size());
  }
  if (slot_share < 1) {
    sum.slots *= slot_share;
    sum.in_use = sum.slots;  // The share is of this entry alone.
  }
  return sum;
}

// Queued work before a job, in microseconds of run time.
struct work_ahead {
  double own = 0;         // Of the job's team.
  double others = 0;      // Of other teams.
  double weights = 0;     // Of all teams that have queued work.
  double own_weight = 0;  // Zero while the job's team has none.
};

work_ahead AheadOf(const kind_state& kind, const demand& job) {
  work_ahead sum;
  for (const kind_state* other : kind.sharing) {
    // Long work holds back short work only where it has slots already.
    if (other != &kind && other->profile.classification() == run_class::kLong)
      continue;
    const backlog_ahead share = other->queue.BacklogAhead(job.key, job.team);
    sum.others += static_cast<double>(share.other_teams) * MeanOf(*other);
    sum.own += static_cast<double>(share.own_team) * MeanOf(*other);
    sum.weights =
        std::max(sum.weights, static_cast<double>(share.total_weight));
    if (share.own_team_active)
      sum.own_weight = job.weight;
  }
  return sum;
}

// Other teams take turns with the job's team by their weights, until their
// work is done.
double DelayingWork(const work_ahead& ahead, const demand& job, double work) {
  const double weight = job.weight;
  const double weights = ahead.weights - ahead.own_weight + weight;
  const double turns = (ahead.own + work) * (weights - weight) / weight;
  return ahead.own + std::min(ahead.others, turns);
}

}  // namespace

forecast Predict(const kind_state& kind,
                 const demand& job,
                 std::size_t entries) {
  const capacity sum = CapacityFor(kind, job.slot_share);
  const double part = sum.slots / static_cast<double>(entries);
  const double usable = std::max({1.0, part, sum.in_use});
  const auto tasks = static_cast<double>(job.tasks);
  const double rounds = std::ceil(tasks / std::max(1.0, sum.slots));
  const double mean = MeanOf(kind);
  const double delaying = DelayingWork(AheadOf(kind, job), job, tasks * mean);
  forecast result;
  result.alone = microseconds(std::llround(rounds * mean));
  result.at_once = rounds <= 1;
  result.backlog = microseconds(std::llround(delaying / usable));
  return result;
}

}  // namespace egretrack::decision
