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
  capacity result;
  for (const entry_agent* agent : kind.agents) {
    if (!agent->serving() || agent->health.ejected())
      continue;
    result.slots += agent->slots;
    result.in_use += static_cast<double>(agent->outstanding.size());
  }
  if (slot_share < 1) {
    result.slots *= slot_share;
    // The share is already that of this entry alone.
    result.in_use = result.slots;
  }
  return result;
}

// Run time in microseconds of the work that is queued before a job.
struct work_ahead {
  double own_team = 0;      // Of the job's team.
  double other_teams = 0;   // Of other teams.
  double total_weight = 0;  // Sum over the teams that have queued work.
  double own_weight = 0;    // Zero if the job's team has no queued work.
};

work_ahead WorkAheadOf(const kind_state& kind, const admission_request& job) {
  work_ahead result;
  for (const kind_state* other : kind.kinds_sharing_agents) {
    // Long tasks delay short ones only by the slots that they occupy already.
    if (other != &kind && other->profile.classification() == run_class::kLong)
      continue;
    const backlog_ahead backlog = other->queue.BacklogAhead(job.key, job.team);
    result.other_teams +=
        static_cast<double>(backlog.other_teams) * MeanOf(*other);
    result.own_team += static_cast<double>(backlog.own_team) * MeanOf(*other);
    result.total_weight = std::max(result.total_weight,
                                   static_cast<double>(backlog.total_weight));
    if (backlog.own_team_active)
      result.own_weight = job.weight;
  }
  return result;
}

// Work that runs before the job ends: the other teams alternate with the job's
// team in proportion to their weights, until their own work is done.
double DelayingWork(const work_ahead& ahead,
                    const admission_request& job,
                    double work) {
  const double weight = job.weight;
  const double total_weight = ahead.total_weight - ahead.own_weight + weight;
  const double interleaved =
      (ahead.own_team + work) * (total_weight - weight) / weight;
  return ahead.own_team + std::min(ahead.other_teams, interleaved);
}

}  // namespace

forecast Predict(const kind_state& kind,
                 const admission_request& job,
                 std::size_t entries) {
  const capacity available = CapacityFor(kind, job.slot_share);
  const double equal_part = available.slots / static_cast<double>(entries);
  const double usable = std::max({1.0, equal_part, available.in_use});
  const auto tasks = static_cast<double>(job.tasks);
  const double rounds = std::ceil(tasks / std::max(1.0, available.slots));
  const double mean = MeanOf(kind);
  const double delaying =
      DelayingWork(WorkAheadOf(kind, job), job, tasks * mean);
  forecast result;
  result.without_backlog = microseconds(std::llround(rounds * mean));
  result.fits_in_one_round = rounds <= 1;
  result.backlog_delay = microseconds(std::llround(delaying / usable));
  return result;
}

}  // namespace egretrack::decision
