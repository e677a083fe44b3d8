#ifndef EGRETRACK_DECISION_ADMISSION_H_
#define EGRETRACK_DECISION_ADMISSION_H_

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "decision/kind_state.h"
#include "egretrack/base/time.h"

namespace egretrack::decision {

// A submitted job whose completion time is predicted.
struct admission_request {
  std::size_t tasks = 0;
  monotonic_time key{};   // Queue priority; lower goes first.
  std::string_view team;  // Name of its team's queue.
  std::uint32_t weight = 1;
  double slot_share = 1;  // Part of the agents' slots that the kind may use.
};

struct forecast {
  microseconds without_backlog{0};  // Run time of the job with empty queues.
  microseconds backlog_delay{0};    // Added by work that is queued before it.
  bool fits_in_one_round = false;   // There is a slot for every task.
};

// Predicts how long a job takes. `entries` share the slots: this entry is
// assumed to get an equal part, or the slots that it uses now if they are more.
forecast Predict(const kind_state& kind,
                 const admission_request& job,
                 std::size_t entries);

}  // namespace egretrack::decision

#endif  // EGRETRACK_DECISION_ADMISSION_H_
