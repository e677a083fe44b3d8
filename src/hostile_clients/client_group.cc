#include "hostile_clients/client_group.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <string_view>

namespace egretrack::hostile_clients {
namespace {

// Small, so that a peer whose responses are not read soon cannot send more.
constexpr int kReceiveBufferBytes = 4096;
constexpr int kStallTimeoutMs = 1000;

error LastError() {
  return MakeError(std::error_code(errno, std::system_category()),
                   "hostile client");
}

// The part of the stream that follows its first `sent` bytes.
std::string_view NextPart(const byte_stream& stream, std::size_t sent) {
  std::string_view part;
  if (sent < stream.head.size()) {
    part = std::string_view(stream.head).substr(sent);
  } else {
    part = std::string_view(stream.block)
               .substr((sent - stream.head.size()) % stream.block.size());
  }
  return part.substr(0, stream.total_bytes - sent);
}

}  // namespace

client_group::~client_group() {
  for (const client& each : clients_) {
    if (each.descriptor >= 0)
      close(each.descriptor);
  }
}

result<void> client_group::Open(const net::tcp_address& address,
                                std::size_t connections,
                                const byte_stream& stream) {
  sockaddr_in peer{};
  peer.sin_family = AF_INET;
  peer.sin_port = htons(address.port);
  if (inet_pton(AF_INET, address.host.c_str(), &peer.sin_addr) != 1)
    return MakeError(errc::kInvalidArgument, address.host);
  streams_.push_back(stream);
  for (std::size_t index = 0; index < connections; ++index) {
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (descriptor < 0)
      return LastError();
    setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes,
               sizeof(kReceiveBufferBytes));
    if (connect(descriptor, reinterpret_cast<sockaddr*>(&peer), sizeof(peer)) !=
        0) {
      close(descriptor);
      continue;
    }
    clients_.push_back({descriptor, streams_.size() - 1, 0});
  }
  return {};
}

void client_group::SendAll() {
  std::vector<pollfd> polled;
  std::vector<client*> senders;
  while (true) {
    polled.clear();
    senders.clear();
    for (client& each : clients_) {
      if (each.descriptor < 0 ||
          each.sent >= streams_[each.stream].total_bytes) {
        continue;
      }
      polled.push_back({each.descriptor, POLLOUT, 0});
      senders.push_back(&each);
    }
    if (senders.empty() ||
        poll(polled.data(), polled.size(), kStallTimeoutMs) <= 0) {
      return;
    }
    for (std::size_t index = 0; index < senders.size(); ++index) {
      if (polled[index].revents != 0)
        SendSome(*senders[index]);
    }
  }
}

bool client_group::SendSome(client& target) {
  const std::string_view part = NextPart(streams_[target.stream], target.sent);
  const ssize_t sent = send(target.descriptor, part.data(), part.size(),
                            MSG_NOSIGNAL | MSG_DONTWAIT);
  if (sent < 0) {
    if (errno == EAGAIN || errno == EINTR)
      return false;
    close(target.descriptor);
    target.descriptor = -1;
    return false;
  }
  target.sent += static_cast<std::size_t>(sent);
  sent_bytes_ += static_cast<std::size_t>(sent);
  return true;
}

}  // namespace egretrack::hostile_clients
