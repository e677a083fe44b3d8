#ifndef EGRETRACK_NET_FRAME_SOCKET_H_
#define EGRETRACK_NET_FRAME_SOCKET_H_

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

#include <zmq.hpp>

#include "egretrack/base/error.h"
#include "egretrack/net/http.h"

// What the router and the dealer have in common.
namespace egretrack::net {

// Bytes that wait between the sending threads and the socket's thread.
inline constexpr std::size_t kMaxQueuedBytes = 256U << 20U;

// Frames handled in one turn, so that sending is not held up by a flood.
inline constexpr int kFramesPerIteration = 256;

// Sets the options that bound what a socket holds and how long it waits.
void SetSocketOptions(zmq::socket_t& socket, const tcp_address& address);

// "tcp://host:port", with brackets around an IPv6 host.
std::string ZmqEndpoint(const tcp_address& address);

std::span<const std::byte> AsBytes(const zmq::message_t& message);

error MakeZmqError(const zmq::error_t& failure, const tcp_address& address);

// Waits until the socket can be read or the descriptor is ready. The items
// may have no event set when a signal ended the wait.
void WaitForEvents(std::span<zmq::pollitem_t> items);

}  // namespace egretrack::net

#endif  // EGRETRACK_NET_FRAME_SOCKET_H_
