#include "decision/quota_tree.h"

#include <algorithm>

namespace egretrack::decision {
namespace {

// Entries share no state, so each enforces an equal part, rounded up.
std::uint32_t DividePerEntry(std::uint32_t limit, std::uint32_t entry_count) {
  return (limit + entry_count - 1) / entry_count;
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

void quota_tree::Adopt(const objects::object_set& set,
                       std::uint32_t entry_count) {
  nodes_by_desk_.clear();
  unlimited_ = quota_node();
  for (auto& [name, node] : nodes_by_name_)
    *node = quota_node();
  for (const objects::limit& limit : set.limits) {
    auto& node = nodes_by_name_[limit.name];
    if (node == nullptr)
      node = std::make_unique<quota_node>();
    node->weight = std::max(limit.weight, 1U);
    node->max_running = DividePerEntry(limit.max_running, entry_count);
    node->max_queued = DividePerEntry(limit.max_queued, entry_count);
    nodes_by_desk_[limit.desk][limit.team] = node.get();
  }
  for (const objects::limit& limit : set.limits) {
    const auto parent = nodes_by_name_.find(limit.parent);
    if (!limit.parent.empty() && parent != nodes_by_name_.end())
      nodes_by_name_[limit.name]->parent = parent->second.get();
  }
}

void quota_tree::UpdateOpenLimits(const objects::object_set& set,
                                  wall_time wall) {
  for (const objects::limit& limit : set.limits) {
    const auto node = nodes_by_name_.find(limit.name);
    if (node != nodes_by_name_.end())
      node->second->in_force = objects::IsLimitOpen(set, limit, wall);
  }
}

quota_node* quota_tree::Find(std::string_view desk, std::string_view team) {
  const auto teams = nodes_by_desk_.find(desk);
  if (teams == nodes_by_desk_.end())
    return &unlimited_;
  const auto node = teams->second.find(team);
  return node == teams->second.end() ? nullptr : node->second;
}

}  // namespace egretrack::decision
