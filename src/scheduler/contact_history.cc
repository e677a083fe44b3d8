#include "scheduler/contact_history.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace egretrack::scheduler {
namespace {

// Longer than the interval between the heartbeats of an idle agent, 1,000 ms.
constexpr milliseconds kSilence{1200};
// A process that has been silent for longer has probably ended for good and
// says nothing about the network.
constexpr seconds kGoneAfter{60};
// TCP doubles the time between two transmissions, so that bytes arrive within
// the time for which they could not be delivered, and the first interval.
constexpr milliseconds kFirstRetransmission{1000};

}  // namespace

bool contact_history::IsSilent(monotonic_time last_contact,
                               monotonic_time now) {
  return now - last_contact > kSilence;
}

void contact_history::Observe(std::span<const monotonic_time> last_contacts,
                              monotonic_time now) {
  std::vector<monotonic_time> contacts(last_contacts.begin(),
                                       last_contacts.end());
  std::erase_if(contacts, [now](monotonic_time contact) {
    return now - contact > kGoneAfter;
  });
  // If no process is left, the entry may still be cut off.
  if (contacts.empty())
    return;
  // More than half of the processes have been silent since then.
  const auto median =
      contacts.begin() + static_cast<std::ptrdiff_t>(contacts.size() / 2);
  std::ranges::nth_element(contacts, median);
  if (!IsSilent(*median, now)) {
    if (lost_since_)
      EndLoss(now);
  } else if (!lost_since_) {
    lost_since_ = *median;
  }
}

void contact_history::EndLoss(monotonic_time now) {
  const monotonic_time began = *std::exchange(lost_since_, std::nullopt);
  if (began > delayed_until_)
    last_loss_began_ = began;
  last_loss_ended_ = now;
  delayed_until_ = now + (now - last_loss_began_) + kFirstRetransmission;
}

bool contact_history::MayBeDelayed(monotonic_time sent_after,
                                   monotonic_time read_at) const {
  if (read_at - sent_after < resubmit_after_)
    return false;
  return lost_since_ ||
         (read_at <= delayed_until_ && sent_after <= last_loss_ended_);
}

}  // namespace egretrack::scheduler
