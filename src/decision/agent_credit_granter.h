#ifndef EGRETRACK_DECISION_AGENT_CREDIT_GRANTER_H_
#define EGRETRACK_DECISION_AGENT_CREDIT_GRANTER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "egretrack/decision/agent_core.h"

namespace egretrack::decision {

// Grants the worker's capacity to entries as credits. Keeps tasks held plus
// credits outstanding at or below the capacity. Totals are cumulative per
// connection, so that repeated and reordered messages are harmless.
class credit_granter {
 public:
  credit_granter(std::uint32_t capacity,
                 std::uint32_t floor,
                 std::size_t entries);

  // A new connection: the credits of the one before are void.
  void Open(entry_index entry);
  // The entry answered on its connection and may get credits.
  void Reach(entry_index entry);
  // While closed, nothing is granted; what is outstanding stays counted.
  void SetGranting(bool granting) { granting_ = granting; }

  // A dispatch arrived. False when the entry held no credit for it.
  bool Spend(entry_index entry);
  void Release(entry_index entry, std::uint64_t released_total);
  // Tasks that the entry could send now if it had the credits.
  void SetDemand(entry_index entry, std::uint32_t demand);

  void AddTask() { ++tasks_; }
  void EndTask() { --tasks_; }

  // Grants what is free: the floor of each entry first, then one by one to the
  // entry with the most unserved demand. `reporting` is about to get a message
  // that can carry the grant.
  void Grant(std::optional<entry_index> reporting);

  // The total for a message to the entry, which is thereby told.
  std::uint64_t Tell(entry_index entry);
  // True when the entry waits for credits, knows of none that it could use,
  // and some were granted that it was not told of.
  bool NeedsGrant(entry_index entry) const;
  // Credits that the entry holds without need while others lack them.
  std::uint32_t Recallable(entry_index entry) const;

  std::uint32_t tasks() const { return tasks_; }
  std::uint32_t outstanding() const;

 private:
  struct account {
    bool reachable = false;
    std::uint64_t granted_total = 0;
    std::uint64_t told_total = 0;
    std::uint64_t dispatched_total = 0;
    std::uint64_t released_total = 0;
    std::uint32_t demand = 0;

    std::uint64_t used() const { return dispatched_total + released_total; }
    std::uint32_t outstanding() const {
      return static_cast<std::uint32_t>(granted_total - used());
    }
    std::uint32_t unserved() const {
      return demand > outstanding() ? demand - outstanding() : 0;
    }
  };

  std::uint32_t free() const;
  void GrantFloors();
  account* MostInNeed(std::optional<entry_index> reporting);

  const std::uint32_t capacity_;
  const std::uint32_t floor_;
  bool granting_ = false;
  std::uint32_t tasks_ = 0;  // Held or running.
  std::vector<account> accounts_;
};

}  // namespace egretrack::decision

#endif  // EGRETRACK_DECISION_AGENT_CREDIT_GRANTER_H_
