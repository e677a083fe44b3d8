#include "entry/agent_transport.h"

#include <future>
#include <mutex>

#include <gtest/gtest.h>

#include "egretrack/wire/codec.h"

namespace egretrack::entry {
namespace {

constexpr seconds kTimeout{10};

// Guards against one frame per message, which costs throughput, and against a
// malformed frame that crashes the entry or is passed on as an event.
TEST(AgentTransport, SendsOneFramePerConnection) {
  control_mailbox events(8);
  agent_transport transport(events);
  ASSERT_TRUE(transport.Bind({"127.0.0.1", 0}));
  std::promise<wire::entry_frame> first;
  std::promise<wire::entry_frame> second;
  int frames = 0;
  const std::vector<net::tcp_address> entries = {transport.local_address()};
  const auto dealer = *net::frame_dealer::Create(
      entries, [&](std::uint32_t, std::span<const std::byte> bytes) {
        ++frames;
        (frames == 1 ? first : second)
            .set_value(*wire::DecodeEntryFrame(bytes));
      });
  dealer->Send(0, "no frame");
  wire::hello hello_message;
  hello_message.agent = "agent";
  const wire::agent_message hello = hello_message;
  dealer->Send(0, wire::EncodeAgentFrame(connection_number{1}, {&hello, 1}));

  std::vector<control_event> batch;
  ASSERT_TRUE(events.WaitBatch(batch, monotonic_clock::now() + kTimeout));
  ASSERT_EQ(batch.size(), 1U);
  const auto& received = std::get<decision::agent_frame_received>(
      std::get<decision::entry_event>(batch[0]));
  EXPECT_EQ(transport.malformed_frames(), 1U);

  const connection_number one{1};
  const connection_number two{2};
  std::vector<decision::send_to_agent> messages = {
      {received.link, one, wire::release{1}},
      {received.link, two, wire::release{2}},
      {received.link, one, wire::release{3}},
  };
  transport.Send(messages);
  const auto frame_one = first.get_future().get();
  const auto frame_two = second.get_future().get();
  EXPECT_EQ(frame_one.connection, one);
  ASSERT_EQ(frame_one.messages.size(), 2U);
  EXPECT_EQ(std::get<wire::release>(frame_one.messages[1]).released_total, 3U);
  EXPECT_EQ(frame_two.connection, two);
  EXPECT_EQ(frame_two.messages.size(), 1U);
}

// Guards against a frame larger than the agent's limit: the agent drops such a
// frame with all its messages.
TEST(AgentTransport, SplitsLargeBatches) {
  constexpr std::size_t kPayloadBytes = 12U << 20U;
  constexpr int kMessageCount = 6;
  control_mailbox events(8);
  agent_transport transport(events);
  ASSERT_TRUE(transport.Bind({"127.0.0.1", 0}));
  std::promise<void> all_received;
  std::size_t received = 0;
  const std::vector<net::tcp_address> entries = {transport.local_address()};
  const auto dealer = *net::frame_dealer::Create(
      entries, [&](std::uint32_t, std::span<const std::byte> bytes) {
        received += wire::DecodeEntryFrame(bytes)->messages.size();
        if (received == kMessageCount)
          all_received.set_value();
      });
  wire::hello hello_message;
  hello_message.agent = "agent";
  const wire::agent_message hello = hello_message;
  dealer->Send(0, wire::EncodeAgentFrame(connection_number{1}, {&hello, 1}));
  std::vector<control_event> batch;
  ASSERT_TRUE(events.WaitBatch(batch, monotonic_clock::now() + kTimeout));
  const auto peer = std::get<decision::agent_frame_received>(
                        std::get<decision::entry_event>(batch[0]))
                        .link;
  wire::dispatch task;
  task.job = {"a", incarnation{1}, 2, 3};
  task.task_count = 1;
  task.number = dispatch_number{1};
  task.kind = "k";
  task.payload.assign(kPayloadBytes, 'x');
  std::vector<decision::send_to_agent> messages(
      kMessageCount, {peer, connection_number{1}, task});
  transport.Send(messages);
  EXPECT_EQ(all_received.get_future().wait_for(kTimeout),
            std::future_status::ready);
}

}  // namespace
}  // namespace egretrack::entry
