#include "decision/quota_tree.h"

#include <algorithm>

namespace egretrack::decision {
namespace {

// Entries share no state, so each takes an equal part, rounded up.
std::uint32_t Share(std::uint32_t bound, std::uint32_t shares) {
  return (bound + shares - 1) / shares;
}

}  // namespace

bool quota_node::MayRun() const {
  for (const quota_node* node = this; node != nullptr; node = node->parent) {
    if (node->in_force && node->max_running != 0 &&
        node->running >= node->max_running) {
      return false;
    }
  }
  return true;
}

bool quota_node::MayQueue(std::size_t tasks) const {
  for (const quota_node* node = this; node != nullptr; node = node->parent) {
    if (node->in_force && node->max_queued != 0 &&
        node->queued + tasks > node->max_queued) {
      return false;
    }
  }
  return true;
}

void quota_node::AddRunning(int tasks) {
  for (quota_node* node = this; node != nullptr; node = node->parent)
    node->running += static_cast<std::uint32_t>(tasks);
}

void quota_node::AddQueued(int tasks) {
  for (quota_node* node = this; node != nullptr; node = node->parent)
    node->queued += static_cast<std::uint32_t>(tasks);
}

void quota_tree::Adopt(const objects::object_set& set, std::uint32_t shares) {
  teams_.clear();
  unlimited_ = quota_node();
  for (auto& [name, node] : by_name_)
    *node = quota_node();
  for (const objects::limit& limit : set.limits) {
    auto& node = by_name_[limit.name];
    if (node == nullptr)
      node = std::make_unique<quota_node>();
    node->weight = std::max(limit.weight, 1U);
    node->max_running = Share(limit.max_running, shares);
    node->max_queued = Share(limit.max_queued, shares);
    teams_[limit.desk][limit.team] = node.get();
  }
  for (const objects::limit& limit : set.limits) {
    const auto parent = by_name_.find(limit.parent);
    if (!limit.parent.empty() && parent != by_name_.end())
      by_name_[limit.name]->parent = parent->second.get();
  }
}

void quota_tree::UpdateOpenLimits(const objects::object_set& set,
                                  wall_time wall) {
  for (const objects::limit& limit : set.limits) {
    const auto node = by_name_.find(limit.name);
    if (node != by_name_.end())
      node->second->in_force = objects::IsLimitOpen(set, limit, wall);
  }
}

quota_node* quota_tree::Find(std::string_view desk, std::string_view team) {
  const auto teams = teams_.find(desk);
  if (teams == teams_.end())
    return &unlimited_;
  const auto node = teams->second.find(team);
  return node == teams->second.end() ? nullptr : node->second;
}

}  // namespace egretrack::decision
