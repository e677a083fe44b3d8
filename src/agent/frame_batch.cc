#include "agent/frame_batch.h"

#include <utility>
#include <variant>

#include "egretrack/wire/codec.h"

namespace egretrack::agent {
namespace {

// A frame is sent on its own once it has this much, so that many large results
// stay below the largest frame that entries accept.
constexpr std::size_t kMaxFrameBytes = 1U << 20U;

// The part of a message that may be large.
std::size_t LargeBytes(const wire::agent_message& message) {
  if (const auto* report = std::get_if<wire::task_report>(&message))
    return report->result.size();
  if (const auto* offer = std::get_if<wire::config_offer>(&message))
    return offer->document.size();
  std::size_t bytes = 0;
  if (const auto* answer = std::get_if<wire::job_records>(&message)) {
    for (const wire::task_record& record : answer->records)
      bytes += record.result.size();
  }
  return bytes;
}

}  // namespace

frame_batch::frame_batch(net::frame_dealer& dealer, std::size_t entries)
    : dealer_(dealer), pending_(entries) {}

void frame_batch::Add(decision::send_to_entry send) {
  pending_frame& pending = pending_[send.entry];
  pending.frame.connection = send.connection;
  pending.bytes += LargeBytes(send.message);
  pending.frame.messages.push_back(std::move(send.message));
  if (pending.bytes >= kMaxFrameBytes)
    SendOne(send.entry);
}

void frame_batch::Reconnect(const decision::open_connection& open) {
  pending_[open.entry] = pending_frame();
  dealer_.Reconnect(open.entry);
}

void frame_batch::SendAll() {
  for (decision::entry_index entry = 0; entry < pending_.size(); ++entry)
    SendOne(entry);
}

void frame_batch::SendOne(decision::entry_index entry) {
  pending_frame& pending = pending_[entry];
  if (pending.frame.messages.empty())
    return;
  dealer_.Send(entry, wire::EncodeAgentFrame(pending.frame.connection,
                                             pending.frame.messages));
  pending.frame.messages.clear();
  pending.bytes = 0;
}

}  // namespace egretrack::agent
