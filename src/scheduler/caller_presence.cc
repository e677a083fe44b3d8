#include "scheduler/caller_presence.h"

#include <algorithm>

namespace egretrack::scheduler {

bool IsPresent(monotonic_time seen_at,
               monotonic_time now,
               microseconds max_age) {
  return now - seen_at <= max_age;
}

void caller_presence::RecordSeen(monotonic_time seen_at) {
  seen_at_ = std::max(seen_at_, seen_at);
  check_pending_ = false;
}

presence caller_presence::Judge(monotonic_time now,
                                microseconds max_age) const {
  if (IsPresent(seen_at_, now, max_age))
    return presence::kPresent;
  return check_pending_ ? presence::kCheckPending : presence::kUnknown;
}

}  // namespace egretrack::scheduler
