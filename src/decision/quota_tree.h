#ifndef EGRETRACK_DECISION_QUOTA_TREE_H_
#define EGRETRACK_DECISION_QUOTA_TREE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "egretrack/objects/configuration.h"

namespace egretrack::decision {

// Usage and bounds of one limit. Usage also counts against the parents.
struct quota_node {
  std::uint32_t weight = 1;
  std::uint32_t max_running = 0;  // In tasks; 0 means unlimited.
  std::uint32_t max_queued = 0;
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
  bool in_force = true;  // False outside the limit's shift.
  quota_node* parent = nullptr;

  bool MayRun() const;
  bool MayQueue(std::size_t tasks) const;
  void AddRunning(int tasks);
  void AddQueued(int tasks);
};

// The configured limits by name. Nodes are never destroyed or moved, because
// jobs refer to them across configurations.
class quota_tree {
 public:
  // Each of the `entry_count` entries enforces an equal part of each bound.
  // Resets all usage to zero; the caller adds the usage of live jobs again.
  void Adopt(const objects::object_set& set, std::uint32_t entry_count);
  // Updates which limits are in force at `wall`.
  void UpdateOpenLimits(const objects::object_set& set, wall_time wall);

  // Returns the node of a team at a desk, or nullptr when the desk has limits
  // but none for the team.
  quota_node* Find(std::string_view desk, std::string_view team);

 private:
  std::unordered_map<std::string, std::unique_ptr<quota_node>> nodes_by_name_;
  std::map<std::string,
           std::map<std::string, quota_node*, std::less<>>,
           std::less<>>
      nodes_by_desk_;  // Desk, then team.
  quota_node unlimited_;
};

}  // namespace egretrack::decision

#endif  // EGRETRACK_DECISION_QUOTA_TREE_H_
