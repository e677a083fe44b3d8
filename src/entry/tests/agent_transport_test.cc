#include "entry/agent_transport.h"

#include <future>
#include <mutex>

#include <gtest/gtest.h>

#include "egretrack/wire/codec.h"

namespace egretrack::entry {
namespace {

constexpr seconds kPatience{10};

// Guards against one frame per message, and against a malformed frame that
// ends the process or passes as a message.
TEST(AgentTransport, SendsOneFramePerConnection) {
  control_mailbox events(8);
  agent_transport link(events);
  ASSERT_TRUE(link.Bind({"127.0.0.1", 0}));
  std::promise<wire::entry_frame> first;
  std::promise<wire::entry_frame> second;
  int frames = 0;
  const std::vector<net::tcp_address> entries = {link.local_address()};
  const auto dealer = *net::frame_dealer::Create(
      entries, [&](std::uint32_t, std::span<const std::byte> bytes) {
        ++frames;
        (frames == 1 ? first : second)
            .set_value(*wire::DecodeEntryFrame(bytes));
      });
  dealer->Send(0, "no frame");
  wire::hello greeting;
  greeting.agent = "agent";
  const wire::agent_message hello = greeting;
  dealer->Send(0, wire::EncodeAgentFrame(connection_number{1}, {&hello, 1}));

  std::vector<control_event> batch;
  ASSERT_TRUE(events.WaitBatch(batch, monotonic_clock::now() + kPatience));
  ASSERT_EQ(batch.size(), 1U);
  const auto& received = std::get<decision::agent_frame_received>(
      std::get<decision::entry_event>(batch[0]));
  EXPECT_EQ(link.malformed_frames(), 1U);

  const connection_number one{1};
  const connection_number two{2};
  std::vector<decision::send_to_agent> messages = {
      {received.link, one, wire::release{1}},
      {received.link, two, wire::release{2}},
      {received.link, one, wire::release{3}},
  };
  link.Send(messages);
  const auto for_one = first.get_future().get();
  const auto for_two = second.get_future().get();
  EXPECT_EQ(for_one.connection, one);
  ASSERT_EQ(for_one.messages.size(), 2U);
  EXPECT_EQ(std::get<wire::release>(for_one.messages[1]).released_total, 3U);
  EXPECT_EQ(for_two.connection, two);
  EXPECT_EQ(for_two.messages.size(), 1U);
}

// Guards against a frame that is larger than the agent takes, so that all its
// messages are lost.
TEST(AgentTransport, DividesLargeBatches) {
  constexpr std::size_t kPayload = 12U << 20U;
  constexpr int kMessages = 6;
  control_mailbox events(8);
  agent_transport link(events);
  ASSERT_TRUE(link.Bind({"127.0.0.1", 0}));
  std::promise<void> all;
  std::size_t received = 0;
  const std::vector<net::tcp_address> entries = {link.local_address()};
  const auto dealer = *net::frame_dealer::Create(
      entries, [&](std::uint32_t, std::span<const std::byte> bytes) {
        received += wire::DecodeEntryFrame(bytes)->messages.size();
        if (received == kMessages)
          all.set_value();
      });
  wire::hello greeting;
  greeting.agent = "agent";
  const wire::agent_message hello = greeting;
  dealer->Send(0, wire::EncodeAgentFrame(connection_number{1}, {&hello, 1}));
  std::vector<control_event> batch;
  ASSERT_TRUE(events.WaitBatch(batch, monotonic_clock::now() + kPatience));
  const auto peer = std::get<decision::agent_frame_received>(
                        std::get<decision::entry_event>(batch[0]))
                        .link;
  wire::dispatch task;
  task.job = {"a", incarnation{1}, 2, 3};
  task.task_count = 1;
  task.number = dispatch_number{1};
  task.kind = "k";
  task.payload.assign(kPayload, 'x');
  std::vector<decision::send_to_agent> messages(
      kMessages, {peer, connection_number{1}, task});
  link.Send(messages);
  EXPECT_EQ(all.get_future().wait_for(kPatience), std::future_status::ready);
}

}  // namespace
}  // namespace egretrack::entry
