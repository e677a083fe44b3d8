#include "decision/fair_queue.h"

#include <algorithm>

namespace egretrack::decision {
namespace {

// Jobs of one team that are tried for a place that refused their tasks before.
// It bounds the cost of a dispatch; an agent refuses about as many tasks as it
// has slots before it grants no more credits.
constexpr int kMaxTries = 64;

quota_node* QuotaOf(const team_queue& team) {
  const auto& items = team.feasible.empty() ? team.infeasible : team.feasible;
  return (*items.begin())->quota;
}

std::uint32_t WeightOf(const team_queue& team) {
  const quota_node* quota = QuotaOf(team);
  return quota == nullptr ? 1 : quota->weight;
}

queue_item* FirstAccepted(const std::set<queue_item*, queue_order>& items,
                          const placement_filter& place) {
  int tries = 0;
  for (queue_item* item : items) {
    if (place.Accepts(*item))
      return item;
    if (++tries == kMaxTries)
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
    active_.push_back(&queue);
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
  const auto position = std::find(active_.begin(), active_.end(), queue);
  const auto index = static_cast<std::size_t>(position - active_.begin());
  active_.erase(position);
  if (index < turn_)
    --turn_;
  if (turn_ >= active_.size())
    turn_ = 0;
}

queue_item* fair_queue::Next(const placement_filter& place,
                             monotonic_time now,
                             bool& quota_blocked) {
  // One more visit than teams: the first may have used its turn already.
  for (std::size_t visit = 0; visit <= active_.size() && !active_.empty();
       ++visit) {
    team_queue& team = *active_[turn_];
    const quota_node* quota = QuotaOf(team);
    const bool may_run = quota == nullptr || quota->MayRun();
    quota_blocked = quota_blocked || !may_run;
    if (may_run && team.deficit > 0) {
      if (queue_item* item = First(team, place, now))
        return item;
    }
    // The turn passes on; unused deficit is not saved up.
    team.deficit = 0;
    turn_ = (turn_ + 1) % active_.size();
    active_[turn_]->deficit = WeightOf(*active_[turn_]);
  }
  return nullptr;
}

void fair_queue::Charge(queue_item& item) {
  if (item.queue != nullptr && item.queue->deficit > 0)
    --item.queue->deficit;
}

void fair_queue::AdjustTasks(queue_item& item, int tasks) {
  if (item.queue == nullptr)
    return;
  tasks_ += static_cast<std::size_t>(tasks);
  item.queue->backlog.Adjust(item.key, tasks);
}

backlog_ahead fair_queue::BacklogAhead(monotonic_time key,
                                       std::string_view team) const {
  backlog_ahead share;
  share.other_teams = tasks_;
  for (const team_queue* queue : active_)
    share.total_weight += WeightOf(*queue);
  const auto own = teams_.find(team);
  if (own != teams_.end()) {
    share.own_team = own->second.backlog.CountUpTo(key);
    share.other_teams -= own->second.backlog.total();
    share.own_team_active = own->second.active;
  }
  return share;
}

queue_item* fair_queue::First(team_queue& team,
                              const placement_filter& place,
                              monotonic_time now) {
  // Each job becomes infeasible once, so this loop costs nothing on average.
  while (!team.feasible.empty() &&
         (*team.feasible.begin())->latest_start < now) {
    queue_item* item = *team.feasible.begin();
    team.feasible.erase(team.feasible.begin());
    item->infeasible = true;
    team.infeasible.insert(item);
  }
  if (queue_item* item = FirstAccepted(team.feasible, place))
    return item;
  return FirstAccepted(team.infeasible, place);
}

}  // namespace egretrack::decision
