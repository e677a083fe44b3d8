#ifndef EGRETRACK_NET_FRAME_LINK_H_
#define EGRETRACK_NET_FRAME_LINK_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>

#include "egretrack/base/result.h"
#include "egretrack/net/http.h"

// Message frames over ZeroMQ. Each router or dealer owns one traffic thread,
// which is the only one to use its sockets. The thread blocks in zmq_poll and
// is woken by an eventfd when another thread queues a frame.
namespace egretrack::net {

// Identifies one connection of a peer to a router. A peer that reconnects gets
// a new id.
enum class peer_id : std::uint64_t {};

// Limits of a router or a dealer. The defaults fit the roles `entry` and
// `agent`, whose frames carry requests.
struct frame_limits {
  std::size_t frame_bytes = 64U << 20U;  // Of one frame from a peer.
  int received_frames = 4096;            // Queued per peer.
  int sent_frames = 4096;                // The same.
  // Of all frames that other threads have queued for the socket's thread.
  std::size_t queued_bytes = 256U << 20U;
};

// Accepting side: the socket of an entry to which all agents connect.
class frame_router {
 public:
  using frame_handler =
      std::function<void(peer_id, std::span<const std::byte>)>;

  static result<std::unique_ptr<frame_router>> Bind(const tcp_address& address,
                                                    frame_handler on_frame,
                                                    frame_limits limits = {});
  virtual ~frame_router() = default;
  virtual tcp_address local_address() const = 0;
  // Queues a frame. Thread-safe. Drops the frame without an error if the peer
  // is disconnected or a send queue is full; senders recover from the loss by
  // querying the peer.
  virtual void Send(peer_id peer, std::string frame) = 0;
};

// Connecting side: the links of an agent to its entries, identified by index.
// All functions are thread-safe.
class frame_dealer {
 public:
  using frame_handler =
      std::function<void(std::uint32_t link, std::span<const std::byte>)>;

  static result<std::unique_ptr<frame_dealer>> Create(
      std::span<const tcp_address> addresses,
      frame_handler on_frame,
      frame_limits limits = {});
  virtual ~frame_dealer() = default;
  // Closes the link's socket, discards its queued frames and opens a new
  // connection to the same address.
  virtual void Reconnect(std::uint32_t link) = 0;
  // Opens the link to `address`, with a new connection if it is open already.
  virtual void Connect(std::uint32_t link, const tcp_address& address) = 0;
  // Closes the link's connection and discards its queued frames.
  virtual void Close(std::uint32_t link) = 0;
  // Queues a frame. Drops the frame without an error if the link is closed or a
  // send queue is full.
  virtual void Send(std::uint32_t link, std::string frame) = 0;
};

}  // namespace egretrack::net

#endif  // EGRETRACK_NET_FRAME_LINK_H_
