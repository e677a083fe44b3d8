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

constexpr seconds kWaitTimeout{10};

// Records the frames that a traffic thread receives and lets the test wait for
// them.
template <typename Source>
class frame_recorder {
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

  // Waits for the frame at a position. Returns an empty frame after a timeout.
  item Wait(std::size_t position) {
    std::unique_lock lock(mutex_);
    arrived_.wait_for(lock, kWaitTimeout,
                      [&] { return items_.size() > position; });
    return position < items_.size() ? items_[position] : item{};
  }

 private:
  std::mutex mutex_;
  std::condition_variable arrived_;
  std::vector<item> items_;
};

struct linked_pair {
  frame_recorder<peer_id> at_router;
  frame_recorder<std::uint32_t> at_dealer;
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

// Opens a plain TCP connection to the router, without the ZeroMQ protocol.
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

// Guards against frames that are lost, altered or reordered on a link that
// works.
TEST(FrameLink, DeliversFramesInOrderBothWays) {
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

// Guards against a router that reports a new connection under the id of a
// closed one, and against a router that stops after a frame to a disconnected
// peer.
TEST(FrameLink, ReconnectAssignsNewPeerId) {
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

// Guards against a process that ends because one entry in a list of addresses
// has a port that nothing can connect to.
TEST(FrameLink, SurvivesAnAddressThatCannotBeConnectedTo) {
  linked_pair pair;
  pair.dealer->Connect(1, {"127.0.0.1", 0});
  pair.dealer->Send(1, "to nobody");
  pair.dealer->Connect(3, pair.router->local_address());
  pair.dealer->Send(3, "still here");
  EXPECT_EQ(pair.at_router.Wait(0).text, "still here");
  pair.dealer->Close(3);
  pair.dealer->Send(3, "to a closed link");
  pair.dealer->Send(0, "last");
  EXPECT_EQ(pair.at_router.Wait(1).text, "last");
}

// Guards against a port scan or a client of another protocol that stops the
// router or breaks a link.
TEST(FrameLink, SurvivesInvalidHandshakes) {
  linked_pair pair;
  const std::uint16_t port = pair.router->local_address().port;
  const std::string valid_greeting("\xff\0\0\0\0\0\0\0\1\x7f\3", 11);
  const std::string inputs[] = {"GET / HTTP/1.1\r\n\r\n", "",
                                std::string(4096, '\xff'),
                                valid_greeting + std::string(4096, '\0')};
  for (const std::string& input : inputs) {
    const int fd = ConnectRaw(port);
    EXPECT_EQ(send(fd, input.data(), input.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(input.size()));
    close(fd);
  }
  pair.dealer->Send(0, "still here");
  const auto received = pair.at_router.Wait(0);
  EXPECT_EQ(received.text, "still here");
  pair.router->Send(received.source, "and back");
  EXPECT_EQ(pair.at_dealer.Wait(0).text, "and back");
}

// Guards against a router that blocks on the full send queue of a peer that
// does not read.
TEST(FrameLink, SlowPeerDoesNotBlockOthers) {
  linked_pair pair;
  std::mutex handler_mutex;
  std::unique_lock handler_block(handler_mutex);
  auto slow = frame_dealer::Create(
                  std::vector<tcp_address>{pair.router->local_address()},
                  [&handler_mutex](std::uint32_t, auto) {
                    std::lock_guard wait(handler_mutex);
                  })
                  .value();
  slow->Send(0, "slow");
  const auto slow_peer = pair.at_router.Wait(0);
  for (int count = 0; count < 20000; ++count)
    pair.router->Send(slow_peer.source, std::string(4096, 's'));
  pair.dealer->Send(0, "quick");
  const auto quick = pair.at_router.Wait(1);
  pair.router->Send(quick.source, "answer");
  EXPECT_EQ(pair.at_dealer.Wait(0).text, "answer");
  handler_block.unlock();
}

// Guards against a second entry on a host that starts with a port already in
// use without an error.
TEST(FrameLink, BindReportsAddressInUse) {
  linked_pair pair;
  const auto second =
      frame_router::Bind(pair.router->local_address(), [](peer_id, auto) {});
  ASSERT_FALSE(second.has_value());
  EXPECT_EQ(second.error().code, std::errc::address_in_use);
}

}  // namespace
}  // namespace egretrack::net
