#include "decision/agent_links.h"

#include <algorithm>
#include <utility>

namespace egretrack::decision {
namespace {

// Replies later than this many heartbeats are not used.
constexpr std::size_t kMaxUnanswered = 32;
// An entry needs time to adopt what it was offered, and to return credits.
constexpr milliseconds kOfferInterval{1000};
constexpr milliseconds kRecallInterval{250};

bool TakeTurn(monotonic_time& next, monotonic_time now, milliseconds interval) {
  if (now < next)
    return false;
  next = now + interval;
  return true;
}

}  // namespace

void agent_link::Open(monotonic_time now) {
  number_ = connection_number{static_cast<std::uint64_t>(number_) + 1};
  cycle_.Apply(connection_step::kOpen);
  unanswered_.clear();
  last_heard_ = now;
  next_offer_ = now;
  next_recall_ = now;
}

std::uint64_t agent_link::NextHeartbeat(monotonic_time now) {
  unanswered_.push_back({++last_sequence_, now});
  if (unanswered_.size() > kMaxUnanswered)
    unanswered_.pop_front();
  return last_sequence_;
}

bool agent_link::TakeReply(const wire::heartbeat_reply& reply,
                           monotonic_time now) {
  // Heartbeats before the answered one add nothing any more.
  while (!unanswered_.empty() && reply.sequence <= last_sequence_ &&
         unanswered_.front().sequence < reply.sequence) {
    unanswered_.pop_front();
  }
  if (unanswered_.empty() || unanswered_.front().sequence != reply.sequence)
    return false;
  clock_.Observe(reply, unanswered_.front().sent);
  unanswered_.pop_front();
  answered_ = reply.sequence;
  last_heard_ = now;
  cycle_.Apply(connection_step::kReply);
  return true;
}

bool agent_link::MayOfferConfiguration(monotonic_time now) {
  return TakeTurn(next_offer_, now, kOfferInterval);
}

bool agent_link::MayRecall(monotonic_time now) {
  return TakeTurn(next_recall_, now, kRecallInterval);
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

void agent_links::Send(agent_turn& turn,
                       entry_index entry,
                       wire::agent_message message) {
  turn.commands.push_back(
      send_to_entry{entry, links_[entry].number(), std::move(message)});
}

}  // namespace egretrack::decision
