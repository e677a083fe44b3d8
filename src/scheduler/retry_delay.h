#ifndef EGRETRACK_SCHEDULER_RETRY_DELAY_H_
#define EGRETRACK_SCHEDULER_RETRY_DELAY_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "egretrack/base/time.h"
#include "egretrack/decision/outcome.h"

// Retry-After of refusals. Load pattern: demand exceeds the resources by a
// factor of 1.6 to 2.5 for some seconds. With one delay for all, the callers of
// a burst of refusals return together and are refused together again.
namespace egretrack::scheduler {

constexpr seconds kMinRetryDelay{1};
constexpr seconds kMaxRetryDelay{10};

struct retry_decision {
  seconds delay{0};  // 0: a retry cannot help.
  // What the delay is derived from.
  std::size_t backlog = 0;
  std::size_t returning = 0;  // Refused callers that have yet to return.
  double drain_rate = 0;      // Jobs per second; 0: unknown.
};

class retry_delay {
 public:
  void RecordCompletion(monotonic_time now);

  // Jobs that completed per second, over the last seconds; 0 if too few did.
  double DrainRate(monotonic_time now) const;

  // Decides the delay of a refusal and counts its caller as returning then.
  // `backlog` is the number of unanswered jobs; `caller_hash` spreads callers.
  retry_decision Decide(decision::job_errc reason,
                        std::size_t backlog,
                        std::uint64_t caller_hash,
                        monotonic_time now);

 private:
  struct return_second {
    std::int64_t second = 0;
    std::size_t callers = 0;
  };

  double CompletionsAt(monotonic_time now) const;
  std::size_t CountReturning(monotonic_time now) const;
  void AddReturning(monotonic_time at);

  double completions_ = 0;  // Faded to `updated_`.
  monotonic_time updated_{};
  // By the second of the return, modulo the size.
  std::array<return_second, kMaxRetryDelay.count() + 1> returning_{};
};

}  // namespace egretrack::scheduler

#endif  // EGRETRACK_SCHEDULER_RETRY_DELAY_H_
