#include "proxy.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <list>
#include <mutex>
#include <stdexcept>
#include <thread>
#include <vector>

namespace review {
namespace {

using egretrack::net::tcp_address;

sockaddr_in ToSockaddr(const tcp_address& address) {
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(address.port);
  inet_pton(AF_INET, address.host.c_str(), &to.sin_addr);
  return to;
}

struct link {
  int client = -1;
  int target = -1;
  bool silent = false;
  bool closed = false;
};

class proxy_impl final : public proxy {
 public:
  proxy_impl(const tcp_address& listen_at, const tcp_address& target)
      : target_(target) {
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in at = ToSockaddr(listen_at);
    if (bind(listener_, reinterpret_cast<sockaddr*>(&at), sizeof(at)) != 0 ||
        listen(listener_, 128) != 0) {
      close(listener_);
      throw std::runtime_error("proxy: " + listen_at.ToString() + " in use");
    }
    socklen_t size = sizeof(at);
    getsockname(listener_, reinterpret_cast<sockaddr*>(&at), &size);
    address_ = {listen_at.host, ntohs(at.sin_port)};
    thread_ = std::thread([this] { Run(); });
  }
  proxy_impl(const proxy_impl&) = delete;
  proxy_impl& operator=(const proxy_impl&) = delete;

  ~proxy_impl() override {
    stopping_ = true;
    thread_.join();
    close(listener_);
    for (const link& each : links_) {
      if (!each.closed)
        Close(each);
    }
  }

  tcp_address address() const override { return address_; }

  int SilenceOpenConnections() override {
    const std::lock_guard lock(mutex_);
    int count = 0;
    for (link& each : links_) {
      count += each.silent ? 0 : 1;
      each.silent = true;
    }
    return count;
  }

  int ResetOpenConnections(int most) override {
    const std::lock_guard lock(mutex_);
    int count = 0;
    for (link& each : links_) {
      if (each.silent || each.closed || count == most)
        continue;
      const linger reset{1, 0};
      setsockopt(each.client, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
      setsockopt(each.target, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
      Close(each);
      each.closed = true;
      ++count;
    }
    return count;
  }

 private:
  static void Close(const link& each) {
    close(each.client);
    if (each.target >= 0)
      close(each.target);
  }

  void Accept() {
    const int client = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (client < 0)
      return;
    const int target = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in to = ToSockaddr(target_);
    if (connect(target, reinterpret_cast<sockaddr*>(&to), sizeof(to)) != 0) {
      // As if nothing listened: the peer gets a reset.
      const linger reset{1, 0};
      setsockopt(client, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
      close(client);
      close(target);
      return;
    }
    const int on = 1;
    setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(target, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    links_.push_back({client, target});
  }

  // Forwards what `from` has to read. Returns false at its end.
  static bool Forward(int from, int to) {
    char buffer[65536];
    const ssize_t size = recv(from, buffer, sizeof(buffer), 0);
    if (size <= 0)
      return false;
    for (ssize_t sent = 0; sent < size;) {
      const ssize_t part = send(to, buffer + sent,
                                static_cast<std::size_t>(size - sent),
                                MSG_NOSIGNAL);
      if (part <= 0)
        return false;
      sent += part;
    }
    return true;
  }

  void Run() {
    while (!stopping_) {
      std::vector<pollfd> polls{{listener_, POLLIN, 0}};
      std::vector<link*> polled;
      {
        const std::lock_guard lock(mutex_);
        for (link& each : links_) {
          if (each.silent || each.closed)
            continue;
          polls.push_back({each.client, POLLIN, 0});
          polls.push_back({each.target, POLLIN, 0});
          polled.push_back(&each);
        }
      }
      if (poll(polls.data(), polls.size(), 5) <= 0)
        continue;
      const std::lock_guard lock(mutex_);
      if (polls[0].revents != 0)
        Accept();
      for (std::size_t index = 0; index < polled.size(); ++index) {
        link& each = *polled[index];
        if (each.silent || each.closed)
          continue;
        bool open = true;
        if (polls[2 * index + 1].revents != 0)
          open = Forward(each.client, each.target);
        if (open && polls[2 * index + 2].revents != 0)
          open = Forward(each.target, each.client);
        if (!open) {
          Close(each);
          each.closed = true;
        }
      }
      links_.remove_if([](const link& each) { return each.closed; });
    }
  }

  const tcp_address target_;
  tcp_address address_;
  int listener_ = -1;
  std::mutex mutex_;
  std::list<link> links_;  // Guarded by mutex_.
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
};

}  // namespace

std::unique_ptr<proxy> proxy::Open(const tcp_address& listen_at,
                                   const tcp_address& target) {
  return std::make_unique<proxy_impl>(listen_at, target);
}

}  // namespace review
