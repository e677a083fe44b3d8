#include "standins/raw_connection.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <utility>

namespace egretrack::standins {
namespace {

constexpr milliseconds kSendTimeout{1000};
constexpr std::size_t kReceiveBufferBytes = 65536;

error LastError() {
  return MakeError(std::error_code(errno, std::system_category()),
                   "raw connection");
}

result<void> WaitUntilReady(int descriptor,
                            short events,
                            milliseconds timeout) {
  pollfd polled{descriptor, events, 0};
  const int ready = poll(&polled, 1, static_cast<int>(timeout.count()));
  if (ready < 0)
    return LastError();
  if (ready == 0)
    return MakeError(errc::kTimeout, "raw connection");
  return {};
}

}  // namespace

result<raw_connection> raw_connection::Open(const net::tcp_address& address) {
  raw_connection connection(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  sockaddr_in peer{};
  peer.sin_family = AF_INET;
  peer.sin_port = htons(address.port);
  if (inet_pton(AF_INET, address.host.c_str(), &peer.sin_addr) != 1)
    return MakeError(errc::kInvalidArgument, address.host);
  if (connect(connection.descriptor_, reinterpret_cast<sockaddr*>(&peer),
              sizeof(peer)) != 0)
    return LastError();
  return connection;
}

raw_connection::raw_connection(raw_connection&& other) noexcept
    : descriptor_(std::exchange(other.descriptor_, -1)) {}

raw_connection::~raw_connection() {
  if (descriptor_ >= 0)
    close(descriptor_);
}

result<void> raw_connection::Send(std::string_view bytes) {
  while (!bytes.empty()) {
    auto ready = WaitUntilReady(descriptor_, POLLOUT, kSendTimeout);
    if (!ready)
      return ready;
    const ssize_t sent = send(descriptor_, bytes.data(), bytes.size(),
                              MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent < 0)
      return LastError();
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return {};
}

result<std::string> raw_connection::Receive(milliseconds timeout) {
  auto ready = WaitUntilReady(descriptor_, POLLIN, timeout);
  if (!ready)
    return ready.error();
  std::string bytes(kReceiveBufferBytes, '\0');
  const ssize_t received = recv(descriptor_, bytes.data(), bytes.size(), 0);
  if (received < 0)
    return LastError();
  bytes.resize(static_cast<std::size_t>(received));
  return bytes;
}

}  // namespace egretrack::standins
