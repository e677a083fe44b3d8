#ifndef EGRETRACK_DECISION_AGENT_HOME_CLOCK_H_
#define EGRETRACK_DECISION_AGENT_HOME_CLOCK_H_

#include <string>

#include "egretrack/base/ids.h"
#include "egretrack/base/time.h"
#include "egretrack/wire/messages.h"

namespace egretrack::decision {

// Upper bound on the monotonic clock of one entry's incarnation, from the last
// heartbeat that it answered.
class home_clock {
 public:
  explicit home_clock(double drift) : drift_(drift) {}

  // `sent` is when the heartbeat that is answered was sent, on our clock.
  void Observe(const wire::heartbeat_reply& reply, monotonic_time sent);

  // The time on our clock before which the home's clock is surely below
  // `limit`; monotonic_time::min() when nothing is known of the job's home.
  monotonic_time SurelyBefore(const job_id& job, monotonic_time limit) const;

 private:
  bool IsHomeOf(const job_id& job) const;

  const double drift_;
  bool known_ = false;
  std::string entry_;
  incarnation incarnation_{};
  monotonic_time sent_{};
  monotonic_time entry_time_{};
};

}  // namespace egretrack::decision

#endif  // EGRETRACK_DECISION_AGENT_HOME_CLOCK_H_
