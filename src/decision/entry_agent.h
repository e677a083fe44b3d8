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

// An incarnation that another one replaced.
struct former_incarnation {
  incarnation agent_incarnation{};
  connection_number last{};
};

// An agent as this entry sees it.
struct entry_agent {
  std::string name;
  incarnation agent_incarnation{};
  connection_number connection{};
  link_id link{};
  std::vector<former_incarnation> former;  // The latest ones, oldest first.
  agent_membership life;
  std::string endpoint;
  std::string failure_domain;
  std::uint32_t slots = 0;
  bool draining = false;
  bool drain_requested = false;  // By an operator; until the agent drains.
  std::uint64_t config_version = 0;
  monotonic_time heard{};
  credit_ledger credits;
  agent_health health;
  std::vector<kind_state*> kinds;  // That its endpoint serves now.
  std::uint32_t long_outstanding = 0;

  struct outstanding_task {
    entry_job* job = nullptr;
    task_index task = 0;
  };
  std::vector<outstanding_task> outstanding;

  void AddOutstanding(entry_job& job, task_index task);
  void RemoveOutstanding(entry_job& job, task_index task);

  // True when new work may be sent, credits and health aside.
  bool serving() const { return life.phase() == agent_phase::kServing; }
  // Share of the slots in use by this entry.
  double load() const;
};

}  // namespace egretrack::decision

#endif  // EGRETRACK_DECISION_ENTRY_AGENT_H_
