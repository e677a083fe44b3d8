#include "entry/agent_transport.h"

#include <map>
#include <tuple>
#include <utility>

#include "egretrack/wire/codec.h"

namespace egretrack::entry {
namespace {

struct connection_key {
  decision::link_id link{};
  connection_number connection{};

  bool operator<(const connection_key& other) const {
    return std::tie(link, connection) < std::tie(other.link, other.connection);
  }
};

// A frame is sent as soon as its content exceeds this size, and the next
// message starts a new one. The largest payload is 16 MiB, so that no frame
// exceeds wire::kMaxFrameBytes, the limit of the agents.
constexpr std::size_t kMaxContentBytes = wire::kMaxFrameBytes / 4;

struct pending_frame {
  std::vector<wire::entry_message> messages;
  std::size_t content_bytes = 0;
};

// Size of the field of a message that may be large.
std::size_t LargeFieldBytes(const wire::entry_message& message) {
  if (const auto* const task = std::get_if<wire::dispatch>(&message))
    return task->payload.size();
  if (const auto* const reply = std::get_if<wire::heartbeat_reply>(&message))
    return reply->config_document.size();
  return 0;
}

}  // namespace

result<void> agent_transport::Bind(const net::tcp_address& address) {
  auto bound = net::frame_router::Bind(
      address, [this](net::peer_id peer, std::span<const std::byte> bytes) {
        OnFrame(peer, bytes);
      });
  if (!bound)
    return bound.error();
  router_ = std::move(*bound);
  return {};
}

void agent_transport::Send(std::span<decision::send_to_agent> messages) {
  std::map<connection_key, pending_frame> frames;
  const auto flush = [this](const connection_key& key, pending_frame& frame) {
    router_->Send(net::peer_id{static_cast<std::uint64_t>(key.link)},
                  wire::EncodeEntryFrame(key.connection, frame.messages));
    frame = {};
  };
  for (decision::send_to_agent& command : messages) {
    const connection_key key{command.link, command.connection};
    pending_frame& frame = frames[key];
    frame.content_bytes += LargeFieldBytes(command.message);
    frame.messages.push_back(std::move(command.message));
    if (frame.content_bytes > kMaxContentBytes)
      flush(key, frame);
  }
  for (auto& [key, frame] : frames) {
    if (!frame.messages.empty())
      flush(key, frame);
  }
}

// The capacity of the mailbox is not enforced: reports must not be lost, and
// the tasks that the agents hold bound the number of frames.
void agent_transport::OnFrame(net::peer_id peer,
                              std::span<const std::byte> bytes) {
  auto frame = wire::DecodeAgentFrame(bytes);
  if (!frame) {
    ++malformed_frames_;
    return;
  }
  const decision::link_id link{static_cast<std::uint64_t>(peer)};
  events_.PushRequired(decision::entry_event(
      decision::agent_frame_received{link, std::move(*frame)}));
}

}  // namespace egretrack::entry
