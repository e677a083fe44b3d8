#ifndef EGRETRACK_NET_FRAME_SOCKET_H_
#define EGRETRACK_NET_FRAME_SOCKET_H_

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

#include <zmq.hpp>

#include "egretrack/base/error.h"
#include "egretrack/net/frame_link.h"
#include "egretrack/net/http.h"

// Socket functions and limits shared by the router and the dealer.
namespace egretrack::net {

// Maximum number of frames received in one iteration of the socket's thread, so
// that a burst of input does not delay sending.
inline constexpr int kFramesPerIteration = 256;

// Sets the limits and timeouts of a socket.
void SetSocketOptions(zmq::socket_t& socket,
                      const tcp_address& address,
                      const frame_limits& limits);

// Formats "tcp://host:port", with brackets around an IPv6 address.
std::string ZmqEndpoint(const tcp_address& address);

std::span<const std::byte> AsBytes(const zmq::message_t& message);

error MakeZmqError(const zmq::error_t& failure, const tcp_address& address);

// Blocks until a socket or descriptor of `items` is ready. If a signal
// interrupts the wait, no item has an event set.
void WaitForEvents(std::span<zmq::pollitem_t> items);

}  // namespace egretrack::net

#endif  // EGRETRACK_NET_FRAME_SOCKET_H_
