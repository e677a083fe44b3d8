#ifndef EGRETRACK_DECISION_AGENT_CREDIT_GRANTER_H_
#define EGRETRACK_DECISION_AGENT_CREDIT_GRANTER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "egretrack/decision/agent_core.h"

namespace egretrack::decision {

// Grants the worker's capacity to entries as credits. The number of tasks plus
// outstanding credits never exceeds the capacity. Totals are cumulative per
// connection, so that repeated and reordered messages have no effect.
class credit_granter {
 public:
  credit_granter(std::uint32_t capacity,
                 std::uint32_t floor,
                 std::size_t entries);

  // Starts a new connection; the credits of the previous one become void.
  void ResetConnection(entry_index entry);
  // Marks that the entry replied on its connection and may receive credits.
  void MarkReachable(entry_index entry);
  // Enables or disables grants. Outstanding credits stay counted.
  void SetGranting(bool granting) { granting_ = granting; }

  // Consumes the credit of a dispatch. Returns false when the entry has none.
  bool SpendCredit(entry_index entry);
  void Release(entry_index entry, std::uint64_t released_total);
  // Sets the number of tasks that the entry could send now if it had credits.
  void SetDemand(entry_index entry, std::uint32_t demand);

  void AddTask() { ++tasks_; }
  void RemoveTask() { --tasks_; }

  // Grants the free capacity: first the floor of each entry, then one credit at
  // a time to the entry with the most unmet demand. `reporting` is the entry
  // that is about to receive a report, which can carry the grant.
  void Grant(std::optional<entry_index> reporting);

  // Returns the granted total for a message to the entry and marks it as
  // advertised.
  std::uint64_t AdvertiseTotal(entry_index entry);
  // Returns true when the entry has demand, has used all advertised credits,
  // and has granted credits that are not advertised yet.
  bool NeedsGrantMessage(entry_index entry) const;
  // Returns the number of idle credits of the entry beyond the floor while
  // another entry has unmet demand.
  std::uint32_t RecallableCredits(entry_index entry) const;

  std::uint32_t tasks() const { return tasks_; }
  std::uint32_t outstanding() const;

 private:
  struct account {
    bool reachable = false;
    std::uint64_t granted_total = 0;
    std::uint64_t advertised_total = 0;
    std::uint64_t dispatched_total = 0;
    std::uint64_t released_total = 0;
    std::uint32_t demand = 0;

    std::uint64_t used() const { return dispatched_total + released_total; }
    std::uint32_t outstanding() const {
      return static_cast<std::uint32_t>(granted_total - used());
    }
    std::uint32_t unmet_demand() const {
      return demand > outstanding() ? demand - outstanding() : 0;
    }
  };

  std::uint32_t free_capacity() const;
  void GrantFloors();
  account* LargestUnmetDemand(std::optional<entry_index> reporting);

  const std::uint32_t capacity_;
  const std::uint32_t floor_;
  bool granting_ = false;
  std::uint32_t tasks_ = 0;  // Held or running.
  std::vector<account> accounts_;
};

}  // namespace egretrack::decision

#endif  // EGRETRACK_DECISION_AGENT_CREDIT_GRANTER_H_
