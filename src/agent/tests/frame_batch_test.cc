#include "agent/frame_batch.h"

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

#include "egretrack/wire/codec.h"

namespace egretrack::agent {
namespace {

class recording_dealer final : public net::frame_dealer {
 public:
  void Reconnect(std::uint32_t link) override { reconnected.push_back(link); }
  void Connect(std::uint32_t link,
               const net::tcp_address& /*address*/) override {
    reconnected.push_back(link);
  }
  void Close(std::uint32_t /*link*/) override {}
  void Send(std::uint32_t link, std::string frame) override {
    const auto decoded =
        wire::DecodeAgentFrame(std::as_bytes(std::span(frame)));
    sent.emplace_back(link, decoded.value().messages.size());
  }

  std::vector<std::uint32_t> reconnected;
  // Link and message count.
  std::vector<std::pair<std::uint32_t, std::size_t>> sent;
};

decision::send_to_entry Report(decision::entry_index entry, std::size_t bytes) {
  wire::task_report report;
  report.job = {"e1", incarnation{1}, 2, 3};
  report.dispatch = dispatch_number{1};
  report.result = std::string(bytes, 'r');
  return {entry, connection_number{1}, report};
}

// Guards against sending one frame per message, and against a frame above the
// size limit of the entries.
TEST(FrameBatch, SendsOneFramePerEntryUnlessLarge) {
  recording_dealer dealer;
  frame_batch batch(dealer, 2);
  batch.Add(Report(0, 10));
  batch.Add(Report(1, 10));
  batch.Add(Report(0, 10));
  batch.SendAll();
  batch.SendAll();
  using frames = std::vector<std::pair<std::uint32_t, std::size_t>>;
  EXPECT_EQ(dealer.sent, (frames{{0, 2}, {1, 1}}));
  dealer.sent.clear();
  for (int count = 0; count < 3; ++count)
    batch.Add(Report(0, 600000));
  batch.SendAll();
  EXPECT_EQ(dealer.sent, (frames{{0, 2}, {0, 1}}));
}

// Guards against sending messages of a closed connection over its successor.
TEST(FrameBatch, ReconnectDropsPendingMessages) {
  recording_dealer dealer;
  frame_batch batch(dealer, 1);
  batch.Add(Report(0, 10));
  batch.Reconnect({0, connection_number{2}});
  batch.SendAll();
  EXPECT_EQ(dealer.reconnected.size(), 1U);
  EXPECT_TRUE(dealer.sent.empty());
}

}  // namespace
}  // namespace egretrack::agent
