#ifndef EGRETRACK_DECISION_ADMISSION_H_
#define EGRETRACK_DECISION_ADMISSION_H_

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "decision/kind_state.h"
#include "egretrack/base/time.h"

namespace egretrack::decision {

// A job that asks for admission.
struct demand {
  std::size_t tasks = 0;
  monotonic_time key{};   // Its place in the order.
  std::string_view team;  // Name of its queue.
  std::uint32_t weight = 1;
  double slot_share = 1;  // Below 1: part of the slots open to the kind.
};

struct forecast {
  microseconds alone{0};    // Time to the end of the job without a backlog.
  microseconds backlog{0};  // Longer than that because of queued work.
  bool at_once = false;     // Every task gets a slot in the first round.
};

// Predicts when a job would end. `entries` share the slots; an entry gets at
// least its equal part, and more when it uses more already.
forecast Predict(const kind_state& kind,
                 const demand& job,
                 std::size_t entries);

}  // namespace egretrack::decision

#endif  // EGRETRACK_DECISION_ADMISSION_H_
