#ifndef EGRETRACK_DECISION_CATALOG_H_
#define EGRETRACK_DECISION_CATALOG_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "decision/agent_table.h"
#include "decision/kind_state.h"
#include "decision/quota_tree.h"
#include "egretrack/objects/configuration.h"

namespace egretrack::decision {

// The configuration in force, indexed for decisions.
class catalog {
 public:
  // Adopts a configuration if its version is higher than the current one, and
  // returns true if so. `entries` share the quotas, whose usage is reset to
  // zero.
  bool Adopt(objects::configuration_ptr configuration, std::uint32_t entries);

  // Links the kinds with the agents that serve them at the time `wall`.
  void Match(const agent_table& agents, wall_time wall);

  const objects::configuration_ptr& configuration() const {
    return configuration_;
  }
  std::uint64_t version() const {
    return configuration_ == nullptr ? 0 : configuration_->version;
  }

  // Returns nullptr if the configuration in force has no such kind.
  kind_state* FindKind(std::string_view name) const;
  quota_node* FindQuota(std::string_view desk, std::string_view team) {
    return quotas_.Find(desk, team);
  }

  template <typename Visitor>
  void ForEachKind(Visitor visit) const {
    for (const auto& [name, kind] : kinds_)
      visit(*kind);
  }

 private:
  struct endpoint_kinds {
    std::vector<kind_state*> kinds;
    bool open = true;
    bool has_agent = false;  // Valid only during Match().
  };

  void AdoptKinds();
  void AdoptEndpoints();
  void ApplyShifts(wall_time wall);
  void MatchAgent(entry_agent& agent);
  static void LinkSharingKinds(endpoint_kinds& endpoint);

  objects::configuration_ptr configuration_;
  std::map<std::string, std::unique_ptr<kind_state>, std::less<>> kinds_;
  std::map<std::string, endpoint_kinds, std::less<>> endpoints_;
  quota_tree quotas_;
};

}  // namespace egretrack::decision

#endif  // EGRETRACK_DECISION_CATALOG_H_
