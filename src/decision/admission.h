#ifndef EGRETRACK_DECISION_ADMISSION_H_
#define EGRETRACK_DECISION_ADMISSION_H_

#include <cstddef>

#include "decision/kind_state.h"
#include "egretrack/base/time.h"

namespace egretrack::decision {

struct forecast {
  microseconds alone{0};    // Time to the end of the job without a backlog.
  microseconds backlog{0};  // Work ahead of it, spread over the slots.
  bool at_once = false;     // Every task gets a slot in the first round.
};

// Predicts when a job of `tasks` tasks would end. `entries` share the slots;
// an entry gets at least its equal part, and more when it uses more already.
forecast Predict(const kind_state& kind,
                 std::size_t tasks,
                 std::size_t entries);

}  // namespace egretrack::decision

#endif  // EGRETRACK_DECISION_ADMISSION_H_
