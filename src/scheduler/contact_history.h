#ifndef EGRETRACK_SCHEDULER_CONTACT_HISTORY_H_
#define EGRETRACK_SCHEDULER_CONTACT_HISTORY_H_

#include <optional>
#include <span>

#include "egretrack/base/time.h"

// Decides whether a request may have been under way for so long that its caller
// has left and sent its job elsewhere. Load pattern: a machine is cut off while
// callers send requests to it on open connections and give up. After the cut
// TCP delivers the requests, and the end of each connection a round trip later.
// docs/design.md lists the places that ask.
namespace egretrack::scheduler {

// What an entry knows of the times in which nothing reached it. It is out of
// contact while most of the processes that send it heartbeats are silent, which
// a fault of single processes does not bring about.
class contact_history {
 public:
  // Callers that got no answer send a job again after `resubmit_after`.
  explicit contact_history(milliseconds resubmit_after)
      : resubmit_after_(resubmit_after) {}

  // Whether a process that was last heard of at `last_contact` is silent.
  static bool IsSilent(monotonic_time last_contact, monotonic_time now);

  // To be called with the last contacts of all processes when a silent one is
  // heard of, before and after that contact, and before MayBeDelayed().
  void Observe(std::span<const monotonic_time> last_contacts,
               monotonic_time now);

  // Whether the caller may have sent a request that was read at `read_at` so
  // long ago that its job is at another entry. It has certainly sent the
  // request after `sent_after`.
  bool MayBeDelayed(monotonic_time sent_after, monotonic_time read_at) const;

 private:
  void EndLoss(monotonic_time now);

  const milliseconds resubmit_after_;
  std::optional<monotonic_time> lost_since_;  // Unset while in contact.
  // The last loss of contact, joined with earlier ones whose delayed requests
  // it may have delayed further.
  monotonic_time last_loss_began_{};
  monotonic_time last_loss_ended_{};
  // Until when requests arrive that were sent during that loss.
  monotonic_time delayed_until_{};
};

}  // namespace egretrack::scheduler

#endif  // EGRETRACK_SCHEDULER_CONTACT_HISTORY_H_
