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

// A request kind: its object, what was learned of it, and its queue. Kept
// across configurations.
struct kind_state {
  explicit kind_state(const objects::request_kind& kind)
      : object(kind), profile(kind.expected) {}

  objects::request_kind object;
  bool configured = true;  // Named by the configuration in force.
  bool open = true;        // An endpoint class that serves it is in its shift.
  kind_profile profile;
  fair_queue queue;
  std::size_t queued_tasks = 0;
  std::size_t outstanding = 0;
  std::vector<entry_agent*> agents;  // That serve it now.
  std::vector<kind_state*> sharing;  // Kinds with a common agent, itself too.

  // True for long work that shares its agents with short work.
  bool GivesWay() const {
    const auto is_short = [](const kind_state* kind) {
      return kind->profile.classification() == run_class::kShort;
    };
    return profile.classification() == run_class::kLong &&
           std::any_of(sharing.begin(), sharing.end(), is_short);
  }
};

}  // namespace egretrack::decision

#endif  // EGRETRACK_DECISION_KIND_STATE_H_
