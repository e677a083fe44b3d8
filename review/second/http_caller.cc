#include "http_caller.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>

namespace review {
namespace {

using std::chrono::steady_clock;

class connection {
 public:
  connection(const egretrack::net::tcp_address& at, int timeout_ms)
      : deadline_(steady_clock::now() + std::chrono::milliseconds(timeout_ms)),
        socket_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(at.port);
    inet_pton(AF_INET, at.host.c_str(), &to.sin_addr);
    // A connection over the loopback network is accepted or refused at once.
    open_ = connect(socket_, reinterpret_cast<sockaddr*>(&to), sizeof(to)) == 0;
    const int on = 1;
    setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;
  ~connection() { close(socket_); }

  bool Send(const std::string& text) {
    std::size_t sent = 0;
    while (open_ && sent < text.size()) {
      const ssize_t part = send(socket_, text.data() + sent, text.size() - sent,
                                MSG_NOSIGNAL);
      if (part <= 0)
        open_ = false;
      else
        sent += static_cast<std::size_t>(part);
    }
    return open_;
  }

  // Appends what arrives next; false at the end or when the time is over.
  bool Receive(std::string& text) {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        deadline_ - steady_clock::now());
    pollfd waiting{socket_, POLLIN, 0};
    if (!open_ || left.count() <= 0 ||
        poll(&waiting, 1, static_cast<int>(left.count())) <= 0)
      return false;
    char buffer[16384];
    const ssize_t size = recv(socket_, buffer, sizeof(buffer), 0);
    if (size <= 0)
      return false;
    text.append(buffer, static_cast<std::size_t>(size));
    return true;
  }

 private:
  const steady_clock::time_point deadline_;
  const int socket_;
  bool open_ = false;
};

std::size_t ContentLength(std::string header) {
  std::transform(header.begin(), header.end(), header.begin(),
                 [](char c) { return c >= 'A' && c <= 'Z' ? c + 32 : c; });
  const auto at = header.find("\r\ncontent-length:");
  return at == std::string::npos
             ? 0
             : std::strtoull(header.c_str() + at + 17, nullptr, 10);
}

}  // namespace

unsigned CallOnce(const egretrack::net::tcp_address& at,
                  const egretrack::net::http_request& request,
                  int timeout_ms,
                  std::string& body) {
  std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
  for (const auto& each : request.headers)
    text += each.name + ": " + each.value + "\r\n";
  if (request.Header("Host").empty())
    text += "Host: " + at.ToString() + "\r\n";
  text += "Content-Length: " + std::to_string(request.body.size()) +
          "\r\n\r\n" + request.body;
  connection link(at, timeout_ms);
  if (!link.Send(text))
    return 0;
  std::string got;
  std::size_t end = std::string::npos;
  while ((end = got.find("\r\n\r\n")) == std::string::npos) {
    if (!link.Receive(got))
      return 0;
  }
  const std::size_t size = end + 4 + ContentLength(got.substr(0, end + 2));
  while (got.size() < size) {
    if (!link.Receive(got))
      return 0;
  }
  body = got.substr(end + 4);
  return static_cast<unsigned>(std::strtoul(got.c_str() + 9, nullptr, 10));
}

}  // namespace review
