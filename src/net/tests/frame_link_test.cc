#include "egretrack/net/frame_link.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <condition_variable>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "egretrack/base/time.h"

namespace egretrack::net {
namespace {

constexpr seconds kPatience{10};

// Frames that a traffic thread received, for the test to wait for.
template <typename Source>
class inbox {
 public:
  struct item {
    Source source;
    std::string text;
  };

  void Add(Source source, std::span<const std::byte> bytes) {
    const std::lock_guard lock(mutex_);
    items_.push_back(
        {source, {reinterpret_cast<const char*>(bytes.data()), bytes.size()}});
    arrived_.notify_all();
  }

  // The frame at a position, or an empty one when it never comes.
  item Wait(std::size_t position) {
    std::unique_lock lock(mutex_);
    arrived_.wait_for(lock, kPatience,
                      [&] { return items_.size() > position; });
    return position < items_.size() ? items_[position] : item{};
  }

 private:
  std::mutex mutex_;
  std::condition_variable arrived_;
  std::vector<item> items_;
};

struct linked_pair {
  inbox<peer_id> at_router;
  inbox<std::uint32_t> at_dealer;
  std::unique_ptr<frame_router> router;
  std::unique_ptr<frame_dealer> dealer;

  linked_pair() {
    router =
        frame_router::Bind({"127.0.0.1", 0}, [this](peer_id peer, auto bytes) {
          at_router.Add(peer, bytes);
        }).value();
    const std::vector<tcp_address> addresses{router->local_address()};
    dealer =
        frame_dealer::Create(addresses, [this](std::uint32_t link, auto bytes) {
          at_dealer.Add(link, bytes);
        }).value();
  }
};

// Connects to the router without speaking ZeroMQ's protocol.
int ConnectRaw(std::uint16_t port) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
  EXPECT_EQ(connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)),
            0);
  return fd;
}

// Guards against frames that get lost, altered or reordered on a good link.
TEST(FrameLink, FramesInBothDirections) {
  linked_pair pair;
  pair.dealer->Send(0, "first");
  pair.dealer->Send(0, std::string(1U << 20U, 'x'));
  const auto first = pair.at_router.Wait(0);
  EXPECT_EQ(first.text, "first");
  EXPECT_EQ(pair.at_router.Wait(1).text.size(), 1U << 20U);
  pair.router->Send(first.source, "answer");
  pair.router->Send(first.source, "second answer");
  EXPECT_EQ(pair.at_dealer.Wait(0).text, "answer");
  EXPECT_EQ(pair.at_dealer.Wait(1).text, "second answer");
}

// Guards against an entry that takes a new connection for an older one, and
// against a frame to a peer that is gone stopping the router.
TEST(FrameLink, ReconnectGivesANewPeer) {
  linked_pair pair;
  pair.dealer->Send(0, "before");
  const auto before = pair.at_router.Wait(0);
  pair.dealer->Reconnect(0);
  pair.dealer->Send(0, "after");
  const auto after = pair.at_router.Wait(1);
  EXPECT_EQ(after.text, "after");
  EXPECT_NE(before.source, after.source);
  pair.router->Send(before.source, "to the old connection");
  pair.router->Send(after.source, "to the new connection");
  EXPECT_EQ(pair.at_dealer.Wait(0).text, "to the new connection");
}

// Guards against a port scan or a stray client ending the router or a link.
TEST(FrameLink, ForeignBytesEndNothing) {
  linked_pair pair;
  const std::uint16_t port = pair.router->local_address().port;
  const std::string valid_greeting("\xff\0\0\0\0\0\0\0\1\x7f\3", 11);
  const std::string texts[] = {"GET / HTTP/1.1\r\n\r\n", "",
                               std::string(4096, '\xff'),
                               valid_greeting + std::string(4096, '\0')};
  for (const std::string& text : texts) {
    const int fd = ConnectRaw(port);
    EXPECT_EQ(send(fd, text.data(), text.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(text.size()));
    close(fd);
  }
  pair.dealer->Send(0, "still here");
  const auto got = pair.at_router.Wait(0);
  EXPECT_EQ(got.text, "still here");
  pair.router->Send(got.source, "and back");
  EXPECT_EQ(pair.at_dealer.Wait(0).text, "and back");
}

// Guards against a router that waits for a peer that does not read.
TEST(FrameLink, SlowPeerDoesNotBlockOthers) {
  linked_pair pair;
  std::mutex gate;
  std::unique_lock closed(gate);
  auto slow = frame_dealer::Create(
                  std::vector<tcp_address>{pair.router->local_address()},
                  [&gate](std::uint32_t, auto) { std::lock_guard wait(gate); })
                  .value();
  slow->Send(0, "slow");
  const auto slow_peer = pair.at_router.Wait(0);
  for (int count = 0; count < 20000; ++count)
    pair.router->Send(slow_peer.source, std::string(4096, 's'));
  pair.dealer->Send(0, "quick");
  const auto quick = pair.at_router.Wait(1);
  pair.router->Send(quick.source, "answer");
  EXPECT_EQ(pair.at_dealer.Wait(0).text, "answer");
  closed.unlock();
}

// Guards against two entries on one host that share a port unnoticed.
TEST(FrameLink, BindReportsAddressInUse) {
  linked_pair pair;
  const auto second =
      frame_router::Bind(pair.router->local_address(), [](peer_id, auto) {});
  ASSERT_FALSE(second.has_value());
  EXPECT_EQ(second.error().code, std::errc::address_in_use);
}

}  // namespace
}  // namespace egretrack::net
