#include "decision/agent_links.h"

#include <algorithm>
#include <utility>

namespace egretrack::decision {
namespace {

// Older unanswered heartbeats are dropped; replies to them are ignored.
constexpr std::size_t kMaxUnanswered = 32;
// An entry needs time to adopt an offered configuration or to return credits.
constexpr milliseconds kOfferInterval{1000};
constexpr milliseconds kRecallInterval{250};

bool AllowOncePer(monotonic_time& next,
                  monotonic_time now,
                  milliseconds interval) {
  if (now < next)
    return false;
  next = now + interval;
  return true;
}

}  // namespace

void agent_link::StartConnection(monotonic_time now) {
  connection_ = connection_number{static_cast<std::uint64_t>(connection_) + 1};
  lifecycle_.Apply(connection_event::kOpen);
  unanswered_.clear();
  last_reply_time_ = now;
  next_offer_ = now;
  next_recall_ = now;
}

std::uint64_t agent_link::NextHeartbeat(monotonic_time now) {
  unanswered_.push_back({++last_sent_sequence_, now});
  if (unanswered_.size() > kMaxUnanswered)
    unanswered_.pop_front();
  return last_sent_sequence_;
}

bool agent_link::AcceptReply(const wire::heartbeat_reply& reply,
                             monotonic_time now) {
  // Heartbeats before the answered one give no newer information.
  while (!unanswered_.empty() && reply.sequence <= last_sent_sequence_ &&
         unanswered_.front().sequence < reply.sequence) {
    unanswered_.pop_front();
  }
  if (unanswered_.empty() || unanswered_.front().sequence != reply.sequence)
    return false;
  entry_clock_.Observe(reply, unanswered_.front().sent);
  unanswered_.pop_front();
  answered_sequence_ = reply.sequence;
  last_reply_time_ = now;
  lifecycle_.Apply(connection_event::kReply);
  return true;
}

bool agent_link::AllowConfigurationOffer(monotonic_time now) {
  return AllowOncePer(next_offer_, now, kOfferInterval);
}

bool agent_link::AllowRecall(monotonic_time now) {
  return AllowOncePer(next_recall_, now, kRecallInterval);
}

agent_links::agent_links(std::uint32_t entries, double clock_drift) {
  for (std::uint32_t entry = 0; entry < entries; ++entry)
    links_.emplace_back(clock_drift);
}

bool agent_links::AnyEstablished() const {
  return std::any_of(links_.begin(), links_.end(),
                     [](const agent_link& link) { return link.established(); });
}

bool agent_links::AllConfirmed() const {
  return std::all_of(links_.begin(), links_.end(),
                     [](const agent_link& link) { return link.confirmed(); });
}

void agent_links::Send(call_context& context,
                       entry_index entry,
                       wire::agent_message message) {
  context.commands.push_back(
      send_to_entry{entry, links_[entry].connection(), std::move(message)});
}

}  // namespace egretrack::decision
