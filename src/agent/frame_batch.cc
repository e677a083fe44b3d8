#include "agent/frame_batch.h"

#include <utility>
#include <variant>

#include "egretrack/wire/codec.h"

namespace egretrack::agent {
namespace {

// A frame is sent as soon as its payload reaches this size, so that many large
// results stay below the frame size limit of the entries.
constexpr std::size_t kFlushBytes = 1U << 20U;

// Size of the variable-length payload of a message; 0 for small messages.
std::size_t PayloadBytes(const wire::agent_message& message) {
  if (const auto* report = std::get_if<wire::task_report>(&message))
    return report->result.size();
  if (const auto* offer = std::get_if<wire::config_offer>(&message))
    return offer->document.size();
  std::size_t bytes = 0;
  if (const auto* job_records = std::get_if<wire::job_records>(&message)) {
    for (const wire::task_record& record : job_records->records)
      bytes += record.result.size();
  }
  return bytes;
}

}  // namespace

frame_batch::frame_batch(net::frame_dealer& dealer, std::size_t entry_count)
    : dealer_(dealer), pending_(entry_count) {}

void frame_batch::Add(decision::send_to_entry send) {
  pending_frame& pending = pending_[send.entry];
  pending.frame.connection = send.connection;
  pending.bytes += PayloadBytes(send.message);
  pending.frame.messages.push_back(std::move(send.message));
  if (pending.bytes >= kFlushBytes)
    SendFrame(send.entry);
}

void frame_batch::Reconnect(const decision::open_connection& open) {
  pending_[open.entry] = pending_frame();
  dealer_.Reconnect(open.entry);
}

void frame_batch::SendAll() {
  for (decision::entry_index entry = 0; entry < pending_.size(); ++entry)
    SendFrame(entry);
}

void frame_batch::SendFrame(decision::entry_index entry) {
  pending_frame& pending = pending_[entry];
  if (pending.frame.messages.empty())
    return;
  dealer_.Send(entry, wire::EncodeAgentFrame(pending.frame.connection,
                                             pending.frame.messages));
  pending.frame.messages.clear();
  pending.bytes = 0;
}

}  // namespace egretrack::agent
