#ifndef EGRETRACK_ENTRY_AGENT_TRANSPORT_H_
#define EGRETRACK_ENTRY_AGENT_TRANSPORT_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <vector>

#include "egretrack/base/result.h"
#include "egretrack/decision/entry_core.h"
#include "egretrack/net/frame_link.h"
#include "entry/control_event.h"

namespace egretrack::entry {

// Exchanges frames with the agents that are connected to this entry.
class agent_transport {
 public:
  explicit agent_transport(control_mailbox& events) : events_(events) {}

  // Errors: system errors.
  result<void> Bind(const net::tcp_address& address);
  net::tcp_address local_address() const { return router_->local_address(); }

  // Sends the messages, combining those for one connection into one frame
  // unless the frame would become too large.
  void Send(std::span<decision::send_to_agent> messages);

  // Number of received frames that could not be decoded since the start.
  std::uint64_t malformed_frames() const { return malformed_frames_; }

 private:
  void OnFrame(net::peer_id peer, std::span<const std::byte> bytes);

  control_mailbox& events_;
  std::atomic<std::uint64_t> malformed_frames_ = 0;
  // Declared last, so that its thread ends before the other members are
  // destroyed.
  std::unique_ptr<net::frame_router> router_;
};

}  // namespace egretrack::entry

#endif  // EGRETRACK_ENTRY_AGENT_TRANSPORT_H_
