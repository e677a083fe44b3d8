#include "decision/fair_queue.h"

#include <algorithm>

namespace egretrack::decision {
namespace {

// Maximum number of jobs of one team that the filter may reject per search. It
// bounds the cost of a dispatch: an agent refuses about as many tasks as it has
// slots before it stops granting credits.
constexpr int kMaxRejectedJobs = 64;

quota_node* QuotaOf(const team_queue& team) {
  const auto& items = team.feasible.empty() ? team.infeasible : team.feasible;
  return (*items.begin())->quota;
}

std::uint32_t WeightOf(const team_queue& team) {
  const quota_node* quota = QuotaOf(team);
  return quota == nullptr ? 1 : quota->weight;
}

queue_item* FirstAccepted(const std::set<queue_item*, queue_order>& items,
                          const placement_filter& filter) {
  int rejected = 0;
  for (queue_item* item : items) {
    if (filter.Accepts(*item))
      return item;
    if (++rejected == kMaxRejectedJobs)
      return nullptr;
  }
  return nullptr;
}

}  // namespace

void fair_queue::Add(queue_item& item, std::string_view team) {
  auto found = teams_.find(team);
  if (found == teams_.end())
    found = teams_.try_emplace(std::string(team)).first;
  team_queue& queue = found->second;
  item.queue = &queue;
  (item.infeasible ? queue.infeasible : queue.feasible).insert(&item);
  if (!queue.active) {
    queue.active = true;
    queue.deficit = 0;
    active_teams_.push_back(&queue);
  }
}

void fair_queue::Remove(queue_item& item) {
  team_queue* queue = item.queue;
  if (queue == nullptr)
    return;
  (item.infeasible ? queue->infeasible : queue->feasible).erase(&item);
  item.queue = nullptr;
  if (!queue->empty())
    return;
  queue->active = false;
  const auto position =
      std::find(active_teams_.begin(), active_teams_.end(), queue);
  const auto index = static_cast<std::size_t>(position - active_teams_.begin());
  active_teams_.erase(position);
  if (index < current_)
    --current_;
  if (current_ >= active_teams_.size())
    current_ = 0;
}

queue_item* fair_queue::Next(const placement_filter& filter,
                             monotonic_time now,
                             bool& quota_blocked) {
  // One more visit than teams, because the first team may have used its turn.
  for (std::size_t visit = 0;
       visit <= active_teams_.size() && !active_teams_.empty(); ++visit) {
    team_queue& team = *active_teams_[current_];
    const quota_node* quota = QuotaOf(team);
    const bool may_run = quota == nullptr || quota->MayRun();
    quota_blocked = quota_blocked || !may_run;
    if (may_run && team.deficit > 0) {
      if (queue_item* item = FirstEligible(team, filter, now))
        return item;
    }
    // The next team gets its turn; unused deficit is not carried over.
    team.deficit = 0;
    current_ = (current_ + 1) % active_teams_.size();
    active_teams_[current_]->deficit = WeightOf(*active_teams_[current_]);
  }
  return nullptr;
}

void fair_queue::Charge(queue_item& item) {
  if (item.queue != nullptr && item.queue->deficit > 0)
    --item.queue->deficit;
}

void fair_queue::AdjustTasks(queue_item& item, int delta) {
  if (item.queue == nullptr)
    return;
  task_count_ += static_cast<std::size_t>(delta);
  item.queue->backlog.Adjust(item.key, delta);
}

backlog_ahead fair_queue::BacklogAhead(monotonic_time key,
                                       std::string_view team) const {
  backlog_ahead ahead;
  ahead.other_teams = task_count_;
  for (const team_queue* queue : active_teams_)
    ahead.total_weight += WeightOf(*queue);
  const auto own = teams_.find(team);
  if (own != teams_.end()) {
    ahead.own_team = own->second.backlog.CountUpTo(key);
    ahead.other_teams -= own->second.backlog.total();
    ahead.own_team_active = own->second.active;
  }
  return ahead;
}

queue_item* fair_queue::FirstEligible(team_queue& team,
                                      const placement_filter& filter,
                                      monotonic_time now) {
  // Each job becomes infeasible at most once, so the amortized cost is
  // constant.
  while (!team.feasible.empty() &&
         (*team.feasible.begin())->latest_start < now) {
    queue_item* item = *team.feasible.begin();
    team.feasible.erase(team.feasible.begin());
    item->infeasible = true;
    team.infeasible.insert(item);
  }
  if (queue_item* item = FirstAccepted(team.feasible, filter))
    return item;
  return FirstAccepted(team.infeasible, filter);
}

}  // namespace egretrack::decision
