#ifndef EGRETRACK_DECISION_KEY_BACKLOG_H_
#define EGRETRACK_DECISION_KEY_BACKLOG_H_

#include <cstddef>
#include <cstdint>
#include <map>

#include "egretrack/base/time.h"

namespace egretrack::decision {

// Counts queued tasks by the key of their job, grouped into time steps. It
// gives the number of tasks ahead of a new job without a scan of the queue.
class backlog_histogram {
 public:
  // Adds `tasks`, which may be negative, to the count of the step of `key`.
  void Adjust(monotonic_time key, int tasks);

  // Returns the number of tasks whose key is in the step of `key` or an earlier
  // one.
  std::size_t CountUpTo(monotonic_time key) const;
  std::size_t total() const { return total_; }

 private:
  std::map<std::int64_t, std::size_t> tasks_by_step_;
  std::size_t total_ = 0;
};

}  // namespace egretrack::decision

#endif  // EGRETRACK_DECISION_KEY_BACKLOG_H_
