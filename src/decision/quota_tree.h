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

// Usage and bounds of one limit. Usage counts against the parents as well.
struct quota_node {
  std::uint32_t weight = 1;
  std::uint32_t max_running = 0;  // Tasks; 0 means no bound.
  std::uint32_t max_queued = 0;
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
  bool in_force = true;  // A limit outside its shift bounds nothing.
  quota_node* parent = nullptr;

  bool MayRun() const;
  bool MayQueue(std::size_t tasks) const;
  void AddRunning(int tasks);
  void AddQueued(int tasks);
};

// The limits in force, by name. Nodes keep their address for good, because
// jobs refer to them across configurations.
class quota_tree {
 public:
  // `shares` is the number of entries, which divide each bound among them. All
  // usage is zero afterwards; the caller counts the live jobs again.
  void Adopt(const objects::object_set& set, std::uint32_t shares);
  void UpdateOpenLimits(const objects::object_set& set, wall_time wall);

  // The node of a team at a desk; nullptr when the desk has limits but none
  // for the team.
  quota_node* Find(std::string_view desk, std::string_view team);

 private:
  std::unordered_map<std::string, std::unique_ptr<quota_node>> by_name_;
  std::map<std::string,
           std::map<std::string, quota_node*, std::less<>>,
           std::less<>>
      teams_;  // Desk, then team.
  quota_node unlimited_;
};

}  // namespace egretrack::decision

#endif  // EGRETRACK_DECISION_QUOTA_TREE_H_
