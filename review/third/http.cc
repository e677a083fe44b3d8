#include "http.h"

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <stdexcept>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {
namespace {

constexpr int kBacklog = 128;
constexpr milliseconds kPollInterval{20};
// Of TCP on a link of a few milliseconds; the timeout doubles each time.
constexpr milliseconds kFirstRetransmission{200};
// Callers of turni-gas are 3 ms away.
constexpr milliseconds kRoundTrip{6};

sockaddr_in ToSocketAddress(const address& from) {
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(static_cast<std::uint16_t>(from.port));
  inet_pton(AF_INET, from.host.c_str(), &to.sin_addr);
  return to;
}

bool SendAll(int socket, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const auto size =
        ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (size <= 0)
      return false;
    sent += static_cast<std::size_t>(size);
  }
  return true;
}

// Reads more bytes. Returns false at the end of the connection or the time.
bool ReceiveMore(int socket, std::string& buffer, steady::time_point until) {
  const auto left =
      std::chrono::duration_cast<milliseconds>(until - steady::now());
  if (left.count() <= 0)
    return false;
  pollfd state{socket, POLLIN, 0};
  if (::poll(&state, 1, static_cast<int>(left.count())) <= 0)
    return false;
  char bytes[65536];
  const auto size = ::recv(socket, bytes, sizeof bytes, 0);
  if (size <= 0)
    return false;
  buffer.append(bytes, static_cast<std::size_t>(size));
  return true;
}

struct message {
  std::string first_line;
  std::map<std::string, std::string> headers;
  std::string body;
};

std::string ToLower(std::string text) {
  std::ranges::transform(text, text.begin(),
                         [](unsigned char c) { return std::tolower(c); });
  return text;
}

// Takes one message from the connection; bytes after it stay in `buffer`.
std::optional<message> ReceiveMessage(int socket,
                                      std::string& buffer,
                                      steady::time_point until) {
  std::size_t end = std::string::npos;
  while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!ReceiveMore(socket, buffer, until))
      return std::nullopt;
  }
  message received;
  std::string head = buffer.substr(0, end + 2);
  std::size_t line_end = head.find("\r\n");
  received.first_line = head.substr(0, line_end);
  for (std::size_t at = line_end + 2; at < head.size(); at = line_end + 2) {
    line_end = head.find("\r\n", at);
    const std::string line = head.substr(at, line_end - at);
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos)
      continue;
    std::string value = line.substr(colon + 1);
    value.erase(0, value.find_first_not_of(' '));
    received.headers[ToLower(line.substr(0, colon))] = value;
  }
  const auto length = received.headers.find("content-length");
  const std::size_t size =
      length == received.headers.end() ? 0 : std::stoul(length->second);
  while (buffer.size() < end + 4 + size) {
    if (!ReceiveMore(socket, buffer, until))
      return std::nullopt;
  }
  received.body = buffer.substr(end + 4, size);
  buffer.erase(0, end + 4 + size);
  return received;
}

std::string PercentDecode(const std::string& text) {
  std::string decoded;
  for (std::size_t at = 0; at < text.size(); ++at) {
    if (text[at] == '%' && at + 2 < text.size()) {
      decoded +=
          static_cast<char>(std::stoi(text.substr(at + 1, 2), nullptr, 16));
      at += 2;
    } else {
      decoded += text[at];
    }
  }
  return decoded;
}

}  // namespace

std::string request::Query(const std::string& name) const {
  std::size_t at = target.find('?');
  while (at != std::string::npos) {
    const std::size_t next = target.find('&', at + 1);
    const std::string pair = target.substr(at + 1, next - at - 1);
    if (pair.starts_with(name + "="))
      return PercentDecode(pair.substr(name.size() + 1));
    at = next;
  }
  return "";
}

int Listen(const address& at) {
  const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in local = ToSocketAddress(at);
  if (::bind(listener, reinterpret_cast<const sockaddr*>(&local),
             sizeof local) != 0 ||
      ::listen(listener, kBacklog) != 0) {
    ::close(listener);
    return -1;
  }
  return listener;
}

int Connect(const address& to) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in remote = ToSocketAddress(to);
  if (::connect(socket, reinterpret_cast<const sockaddr*>(&remote),
                sizeof remote) != 0) {
    ::close(socket);
    return -1;
  }
  const int on = 1;
  ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return socket;
}

void Reset(int socket) {
  const linger at_once{1, 0};
  ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  ::close(socket);
}

response Call(const address& to,
              const std::string& method,
              const std::string& target,
              const std::map<std::string, std::string>& headers,
              const std::string& body,
              milliseconds timeout,
              int socket) {
  const auto until = steady::now() + timeout;
  if (socket < 0)
    socket = Connect(to);
  if (socket < 0)
    return {0, "connection refused"};
  std::string text = method + " " + target + " HTTP/1.1\r\n";
  for (const auto& [name, value] : headers)
    text += name + ": " + value + "\r\n";
  if (!headers.contains("Host"))
    text += "Host: " + to.ToString() + "\r\n";
  text += "Content-Type: application/json\r\nContent-Length: " +
          std::to_string(body.size()) + "\r\n\r\n" + body;
  std::string buffer;
  std::optional<message> received;
  if (SendAll(socket, text))
    received = ReceiveMessage(socket, buffer, until);
  ::close(socket);
  if (!received)
    return {0, steady::now() >= until ? "no answer" : "connection broken"};
  return {std::stoi(received->first_line.substr(9, 3)), received->body};
}

// ---- Server ---------------------------------------------------------------

http_server::http_server(const address& at, handler handle)
    : handle_(std::move(handle)), listener_(Listen(at)) {
  if (listener_ < 0)
    throw std::runtime_error("cannot listen on " + at.ToString());
  accepting_ = std::thread([this] { Accept(); });
}

http_server::~http_server() {
  Stop();
}

void http_server::Stop() {
  if (stopped_.exchange(true))
    return;
  accepting_.join();
  ::close(listener_);
  {
    const std::lock_guard lock(mutex_);
    for (const int socket : sockets_) {
      const linger at_once{1, 0};
      ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
      ::shutdown(socket, SHUT_RD);
    }
  }
  while (serving_ > 0)
    std::this_thread::sleep_for(milliseconds(1));
}

void http_server::Accept() {
  while (!stopped_) {
    pollfd state{listener_, POLLIN, 0};
    if (::poll(&state, 1, 1) <= 0)
      continue;
    const int socket = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (socket < 0)
      continue;
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    ++serving_;
    const std::lock_guard lock(mutex_);
    sockets_.insert(socket);
    std::thread([this, socket] { Serve(socket); }).detach();
  }
}

void http_server::Serve(int socket) {
  std::string buffer;
  bool reset = false;
  while (!stopped_ && !reset) {
    const auto received =
        ReceiveMessage(socket, buffer, steady::now() + std::chrono::hours(1));
    if (!received)
      break;
    request asked;
    const std::string& line = received->first_line;
    const std::size_t space = line.find(' ');
    asked.method = line.substr(0, space);
    asked.target = line.substr(space + 1, line.rfind(' ') - space - 1);
    asked.headers = received->headers;
    asked.body = received->body;
    const auto answer = handle_(asked);
    if (!answer || stopped_) {
      reset = true;
      break;
    }
    const std::string text =
        "HTTP/1.1 " + std::to_string(answer->status) +
        " Status\r\nContent-Type: application/json\r\nContent-Length: " +
        std::to_string(answer->body.size()) + "\r\n\r\n" + answer->body;
    if (!SendAll(socket, text))
      break;
  }
  {
    const std::lock_guard lock(mutex_);
    sockets_.erase(socket);
  }
  if (reset || stopped_)
    Reset(socket);
  else
    ::close(socket);
  --serving_;
}

// ---- Relay ----------------------------------------------------------------

relay::relay(const address& at, address to)
    : to_(std::move(to)), listener_(Listen(at)) {
  if (listener_ < 0)
    throw std::runtime_error("cannot listen on " + at.ToString());
  accepting_ = std::thread([this] { Accept(); });
}

relay::~relay() {
  stopped_ = true;
  accepting_.join();
  ::close(listener_);
  while (running_ > 0)
    std::this_thread::sleep_for(milliseconds(1));
}

void relay::Accept() {
  while (!stopped_) {
    pollfd state{listener_, POLLIN, 0};
    if (::poll(&state, 1, static_cast<int>(kPollInterval.count())) <= 0)
      continue;
    const int client = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (client < 0)
      continue;
    ++running_;
    std::thread([this, client] { Open(client); }).detach();
  }
}

void relay::Open(int client) {
  bool abandoned = false;
  while (cut_ && !stopped_ && !abandoned) {
    std::this_thread::sleep_for(kPollInterval);
    pollfd state{client, POLLRDHUP, 0};
    abandoned = ::poll(&state, 1, 0) > 0;
  }
  const int target = abandoned || stopped_ ? -1 : Connect(to_);
  if (target < 0) {
    Reset(client);
    --running_;
    return;
  }
  const int on = 1;
  ::setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  std::thread back([this, client, target] { Forward(target, client); });
  Forward(client, target);
  back.join();
  ::close(client);
  ::close(target);
  --running_;
}

bool relay::AwaitInput(int from) {
  pollfd state{from, POLLIN, 0};
  while (!stopped_ &&
         ::poll(&state, 1, static_cast<int>(kPollInterval.count())) <= 0) {
  }
  if (!cut_)
    return false;
  milliseconds timeout = kFirstRetransmission;
  auto next = steady::now() + timeout;
  while (!stopped_) {
    std::this_thread::sleep_until(
        std::min(next, steady::now() + kPollInterval));
    if (steady::now() < next)
      continue;
    if (!cut_)
      return true;
    timeout *= 2;
    next += timeout;
  }
  return true;
}

void relay::Forward(int from, int to) {
  char bytes[65536];
  while (!stopped_) {
    const bool held = AwaitInput(from);
    const auto size = ::recv(from, bytes, sizeof bytes, 0);
    if (size <= 0 ||
        !SendAll(to, std::string(bytes, static_cast<std::size_t>(size)))) {
      break;
    }
    if (held)
      std::this_thread::sleep_for(kRoundTrip);
  }
  ::shutdown(to, SHUT_WR);
  if (stopped_)
    ::shutdown(from, SHUT_RD);
}

}  // namespace review
