#ifndef EGRETRACK_JOB_ENTRY_PEER_CANCELLATIONS_H_
#define EGRETRACK_JOB_ENTRY_PEER_CANCELLATIONS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

#include "egretrack/scheduler/job_scheduler.h"

namespace egretrack::job_entry {

// What another entry answered to a cancellation.
enum class peer_cancel_answer : std::uint8_t {
  kCancelled,
  kUnknownJob,
  kTimedOut,  // It did not answer in time.
  kNone,      // It was not reached, or refused the call.
};

// A cancellation that is sent on to one other entry.
struct peer_cancellation {
  scheduler::caller_token caller{};
  std::string host;    // Of the entry.
  std::string target;  // Path and query of the call.
  bool repeated = false;
};

// Cancellations that were sent on to the other entries, until the caller has
// its answer. Owned by the control thread.
class peer_cancellations {
 public:
  struct outcome {
    bool cancelled = false;
    std::size_t unanswered = 0;  // Entries that may have the job.
  };

  // Whether the call is made once more. A connection that was kept open may
  // have gone silent, in which case the repetition takes a new one.
  static bool ShouldRepeat(const peer_cancellation& call,
                           peer_cancel_answer answer);

  void Start(scheduler::caller_token caller, std::size_t peers);
  // Returns the outcome once it is certain: when an entry has cancelled the
  // job, or with the last answer. Later answers are ignored.
  std::optional<outcome> Record(scheduler::caller_token caller,
                                peer_cancel_answer answer);

 private:
  struct pending {
    std::size_t peers = 0;  // Whose answer is missing.
    std::size_t unanswered = 0;
  };
  std::unordered_map<scheduler::caller_token, pending> pending_;
};

}  // namespace egretrack::job_entry

#endif  // EGRETRACK_JOB_ENTRY_PEER_CANCELLATIONS_H_
