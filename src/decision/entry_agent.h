#ifndef EGRETRACK_DECISION_ENTRY_AGENT_H_
#define EGRETRACK_DECISION_ENTRY_AGENT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "decision/agent_health.h"
#include "decision/agent_membership.h"
#include "decision/credit_ledger.h"
#include "decision/entry_job.h"
#include "egretrack/base/ids.h"
#include "egretrack/decision/entry_core.h"

namespace egretrack::decision {

// An incarnation of an agent that a later one replaced.
struct previous_incarnation {
  incarnation agent_incarnation{};
  connection_number last_connection{};
};

// State that this entry keeps about an agent.
struct entry_agent {
  std::string name;
  incarnation agent_incarnation{};
  connection_number connection{};
  link_id link{};
  // Oldest first; bounded.
  std::vector<previous_incarnation> previous_incarnations;
  agent_membership membership;
  std::string endpoint;
  std::string failure_domain;
  std::uint32_t slots = 0;
  bool draining = false;
  bool drain_requested = false;  // By an operator; reset on a restart.
  std::uint64_t config_version = 0;
  monotonic_time last_contact{};
  credit_ledger credits;
  agent_health health;
  std::vector<kind_state*> kinds;      // Served by its endpoint now.
  std::uint32_t long_outstanding = 0;  // Tasks with counted_as_long.

  struct outstanding_task {
    entry_job* job = nullptr;
    task_index task = 0;
  };
  std::vector<outstanding_task> outstanding;

  void AddOutstanding(entry_job& job, task_index task);
  void RemoveOutstanding(entry_job& job, task_index task);

  // True if new tasks may be sent, subject to credits and health.
  bool serving() const { return membership.phase() == agent_phase::kServing; }
  // Outstanding tasks of this entry for each slot.
  double load() const;
};

}  // namespace egretrack::decision

#endif  // EGRETRACK_DECISION_ENTRY_AGENT_H_
