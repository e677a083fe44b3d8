#ifndef EGRETRACK_DECISION_KIND_STATE_H_
#define EGRETRACK_DECISION_KIND_STATE_H_

#include <algorithm>
#include <cstddef>
#include <vector>

#include "decision/entry_agent.h"
#include "decision/fair_queue.h"
#include "decision/kind_profile.h"
#include "egretrack/objects/configuration.h"

namespace egretrack::decision {

// A request kind: its configuration, measured run times and queue. Kept when
// the configuration changes.
struct kind_state {
  explicit kind_state(const objects::request_kind& kind)
      : config(kind), profile(kind.expected) {}

  objects::request_kind config;
  bool configured = true;  // Present in the configuration in force.
  bool open = true;        // An endpoint that serves it is in its shift.
  kind_profile profile;
  fair_queue queue;
  std::size_t queued_tasks = 0;
  std::size_t outstanding = 0;
  std::vector<entry_agent*> agents;               // Agents that serve it now.
  std::vector<kind_state*> kinds_sharing_agents;  // Includes this kind.

  // True for a long kind that shares agents with a short kind.
  bool YieldsToShortWork() const {
    const auto is_short = [](const kind_state* kind) {
      return kind->profile.classification() == run_class::kShort;
    };
    return profile.classification() == run_class::kLong &&
           std::any_of(kinds_sharing_agents.begin(), kinds_sharing_agents.end(),
                       is_short);
  }
};

}  // namespace egretrack::decision

#endif  // EGRETRACK_DECISION_KIND_STATE_H_
