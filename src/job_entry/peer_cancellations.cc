#include "job_entry/peer_cancellations.h"

namespace egretrack::job_entry {

bool peer_cancellations::ShouldRepeat(const peer_cancellation& call,
                                      peer_cancel_answer answer) {
  return answer == peer_cancel_answer::kTimedOut && !call.repeated;
}

void peer_cancellations::Start(scheduler::caller_token caller,
                               std::size_t peers) {
  pending_[caller] = {peers, 0};
}

std::optional<peer_cancellations::outcome> peer_cancellations::Record(
    scheduler::caller_token caller,
    peer_cancel_answer answer) {
  const auto found = pending_.find(caller);
  if (found == pending_.end())
    return std::nullopt;
  pending& waiting = found->second;
  --waiting.peers;
  const bool cancelled = answer == peer_cancel_answer::kCancelled;
  const bool answered = cancelled || answer == peer_cancel_answer::kUnknownJob;
  waiting.unanswered += answered ? 0 : 1;
  if (!cancelled && waiting.peers > 0)
    return std::nullopt;
  const outcome result{cancelled, waiting.unanswered};
  pending_.erase(found);
  return result;
}

}  // namespace egretrack::job_entry
