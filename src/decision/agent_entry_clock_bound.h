#ifndef EGRETRACK_DECISION_AGENT_ENTRY_CLOCK_BOUND_H_
#define EGRETRACK_DECISION_AGENT_ENTRY_CLOCK_BOUND_H_

#include <string>

#include "egretrack/base/ids.h"
#include "egretrack/base/time.h"
#include "egretrack/wire/messages.h"

namespace egretrack::decision {

// Upper bound on the monotonic clock of one entry incarnation, computed from
// its last heartbeat reply. Start limits of tasks are times on the home entry's
// clock.
class entry_clock_bound {
 public:
  explicit entry_clock_bound(double drift) : drift_(drift) {}

  // `sent` is the local time at which the answered heartbeat was sent.
  void Observe(const wire::heartbeat_reply& reply, monotonic_time sent);

  // Returns a local time before which the clock of the job's home entry is
  // guaranteed to be below `limit`. Returns monotonic_time::min() when there is
  // no such time or the clock of that incarnation is unknown.
  monotonic_time ToLocalDeadline(const job_id& job, monotonic_time limit) const;

 private:
  bool IsHomeOf(const job_id& job) const;

  const double drift_;
  bool known_ = false;
  std::string entry_;
  incarnation incarnation_{};
  monotonic_time heartbeat_sent_at_{};
  monotonic_time entry_time_{};
};

}  // namespace egretrack::decision

#endif  // EGRETRACK_DECISION_AGENT_ENTRY_CLOCK_BOUND_H_
