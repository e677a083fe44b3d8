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

// Frames over ZeroMQ. Each object owns one traffic thread, which alone touches
// its sockets and waits in a poll that an eventfd wakes.
namespace egretrack::net {

// Identifies a connected peer of a router for the life of its connection.
enum class peer_id : std::uint64_t {};

// The accepting side: an entry's socket for all agents.
class frame_router {
 public:
  using frame_handler =
      std::function<void(peer_id, std::span<const std::byte>)>;

  static result<std::unique_ptr<frame_router>> Bind(const tcp_address& address,
                                                    frame_handler received);
  virtual ~frame_router() = default;
  virtual tcp_address local_address() const = 0;
  // Queues a frame; safe from any thread. A frame to a peer that is gone, or
  // whose queue is full, is dropped; the sender's queries repair the loss.
  virtual void Send(peer_id peer, std::string frame) = 0;
};

// The connecting side: an agent's links to its entries, by index.
class frame_dealer {
 public:
  using frame_handler =
      std::function<void(std::uint32_t link, std::span<const std::byte>)>;

  static result<std::unique_ptr<frame_dealer>> Create(
      std::span<const tcp_address> addresses,
      frame_handler received);
  virtual ~frame_dealer() = default;
  // Closes the link's socket, drops what it still holds, and connects anew.
  virtual void Reconnect(std::uint32_t link) = 0;
  // The same to another address; `link` may be the first that is not used yet.
  virtual void Connect(std::uint32_t link, const tcp_address& address) = 0;
  virtual void Send(std::uint32_t link, std::string frame) = 0;
};

}  // namespace egretrack::net

#endif  // EGRETRACK_NET_FRAME_LINK_H_
