#include "net/frame_socket.h"

#include <cerrno>

namespace egretrack::net {
namespace {

constexpr milliseconds kHeartbeatInterval{1000};
constexpr milliseconds kHeartbeatTimeout{3000};
// Closes connections that don't complete the ZeroMQ handshake.
constexpr milliseconds kHandshakeTimeout{5000};
constexpr milliseconds kReconnectInterval{100};
// A machine that is powered off does not answer the SYN packet. The system
// would send it again only after 1 s and then after 2 s more.
constexpr milliseconds kConnectTimeout{250};

int ToMs(milliseconds time) {
  return static_cast<int>(time.count());
}

bool IsIpv6(const tcp_address& address) {
  return address.host.find(':') != std::string::npos;
}

}  // namespace

void SetSocketOptions(zmq::socket_t& socket,
                      const tcp_address& address,
                      const frame_limits& limits) {
  socket.set(zmq::sockopt::linger, 0);
  socket.set(zmq::sockopt::sndhwm, limits.sent_frames);
  socket.set(zmq::sockopt::rcvhwm, limits.received_frames);
  socket.set(zmq::sockopt::maxmsgsize,
             static_cast<std::int64_t>(limits.frame_bytes));
  socket.set(zmq::sockopt::heartbeat_ivl, ToMs(kHeartbeatInterval));
  socket.set(zmq::sockopt::heartbeat_timeout, ToMs(kHeartbeatTimeout));
  socket.set(zmq::sockopt::handshake_ivl, ToMs(kHandshakeTimeout));
  socket.set(zmq::sockopt::reconnect_ivl, ToMs(kReconnectInterval));
  socket.set(zmq::sockopt::connect_timeout, ToMs(kConnectTimeout));
  socket.set(zmq::sockopt::ipv6, IsIpv6(address));
}

std::string ZmqEndpoint(const tcp_address& address) {
  const std::string host =
      IsIpv6(address) ? "[" + address.host + "]" : address.host;
  return "tcp://" + host + ":" + std::to_string(address.port);
}

std::span<const std::byte> AsBytes(const zmq::message_t& message) {
  return {message.data<std::byte>(), message.size()};
}

error MakeZmqError(const zmq::error_t& failure, const tcp_address& address) {
  return MakeError(std::error_code(failure.num(), std::generic_category()),
                   ZmqEndpoint(address));
}

void WaitForEvents(std::span<zmq::pollitem_t> items) {
  for (zmq::pollitem_t& item : items)
    item.revents = 0;
  try {
    zmq::poll(items.data(), items.size(), std::chrono::milliseconds(-1));
  } catch (const zmq::error_t& failure) {
    if (failure.num() != EINTR)
      throw;
  }
}

}  // namespace egretrack::net
