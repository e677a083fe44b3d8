#include "egretrack/wire/codec.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <chrono>
#include <string>

namespace egretrack::wire {
namespace {

constexpr connection_number kConnection{7};

std::string RandomName() {
  static const std::string kLetters = "abcdefghijklmnopqrstuvwxyz0123456789-";
  const auto size = *rc::gen::inRange<std::size_t>(1, 65);
  return *rc::gen::container<std::string>(size, rc::gen::elementOf(kLetters));
}

std::string RandomBytes() {
  return *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
}

template <typename T>
T RandomValue() {
  return *rc::gen::arbitrary<T>();
}

job_id RandomJobId() {
  const auto created = RandomValue<std::uint64_t>() & 0xffffffffffffU;
  return {RandomName(), incarnation{RandomValue<std::uint64_t>()}, created,
          RandomValue<std::uint64_t>()};
}

microseconds RandomDuration() {
  return microseconds(
      *rc::gen::inRange<std::int64_t>(0, std::int64_t{1} << 60));
}

task_state RandomState() {
  return static_cast<task_state>(*rc::gen::inRange(1, 6));
}

task_reason RandomReason() {
  return static_cast<task_reason>(*rc::gen::inRange(0, 11));
}

std::uint32_t RandomSlots() {
  return *rc::gen::inRange<std::uint32_t>(0, kMaxSlots + 1);
}

dispatch_number RandomDispatchNumber() {
  return dispatch_number{*rc::gen::inRange<std::uint32_t>(1, UINT32_MAX)};
}

task_record RandomTaskRecord() {
  return {3, 4, RandomState(), RandomReason(), RandomBytes()};
}

agent_message RandomAgentMessage() {
  switch (*rc::gen::inRange(0, 7)) {
    case 0:
      return hello{
          RandomName(),       incarnation{RandomValue<std::uint64_t>()},
          RandomName(),       RandomName(),
          RandomSlots(),      RandomValue<std::uint64_t>(),
          RandomValue<bool>()};
    case 1:
      return heartbeat{RandomValue<std::uint64_t>(),
                       "",
                       RandomSlots(),
                       RandomSlots(),
                       RandomValue<std::uint64_t>(),
                       RandomValue<std::uint64_t>(),
                       RandomValue<bool>()};
    case 2:
      return grant{RandomValue<std::uint64_t>()};
    case 3:
      return recall{RandomValue<std::uint32_t>()};
    case 4:
      return task_report{RandomJobId(),          1199,
                         RandomDispatchNumber(), RandomState(),
                         RandomReason(),         RandomDuration(),
                         RandomDuration(),       RandomValue<std::uint64_t>(),
                         RandomBytes()};
    case 5:
      return job_records{RandomValue<std::uint64_t>(),
                         RandomJobId(),
                         {RandomTaskRecord(), RandomTaskRecord()}};
    default:
      return config_offer{*rc::gen::inRange<std::uint64_t>(1, UINT64_MAX),
                          RandomBytes()};
  }
}

entry_message RandomEntryMessage() {
  switch (*rc::gen::inRange(0, 7)) {
    case 0:
      return heartbeat_reply{RandomName(),
                             incarnation{RandomValue<std::uint64_t>()},
                             RandomValue<std::uint64_t>(),
                             monotonic_time(RandomDuration()),
                             RandomValue<std::uint64_t>(),
                             RandomBytes(),
                             RandomValue<std::uint32_t>()};
    case 1:
      return release{RandomValue<std::uint64_t>()};
    case 2:
      return dispatch{RandomJobId(),
                      0,
                      *rc::gen::inRange<std::uint32_t>(1, kMaxTaskCount + 1),
                      RandomDispatchNumber(),
                      RandomName(),
                      monotonic_time(RandomDuration()),
                      RandomValue<std::uint32_t>(),
                      RandomBytes()};
    case 3:
      return task_query{RandomJobId(), 1199, 1200, RandomDispatchNumber()};
    case 4:
      return job_cancel{RandomJobId()};
    case 5:
      return job_lookup{RandomValue<std::uint64_t>(), RandomJobId()};
    default:
      return drain_request{};
  }
}

template <typename Message>
std::vector<Message> RandomMessages(Message (*make)()) {
  std::vector<Message> messages(*rc::gen::inRange<std::size_t>(0, 6));
  std::generate(messages.begin(), messages.end(), make);
  return messages;
}

std::span<const std::byte> AsBytes(const std::string& text) {
  return std::as_bytes(std::span(text));
}

std::string Encode(const agent_message& message) {
  return EncodeAgentFrame(kConnection, std::span(&message, 1));
}

std::string Encode(const entry_message& message) {
  return EncodeEntryFrame(kConnection, std::span(&message, 1));
}

template <typename Frame>
bool IsFrameOrMalformed(const result<Frame>& decoded) {
  return decoded || decoded.error().code == errc::kParseFailed;
}

template <typename Message>
bool IsAccepted(const Message& message) {
  if constexpr (std::is_constructible_v<agent_message, Message>)
    return DecodeAgentFrame(AsBytes(Encode(agent_message(message))))
        .has_value();
  else
    return DecodeEntryFrame(AsBytes(Encode(entry_message(message))))
        .has_value();
}

// Guards against a field that encoding or decoding omits or swaps with another.
TEST(AgentFrame, RoundTrip) {
  EXPECT_TRUE(rc::check("agent messages", [] {
    const auto sent = RandomMessages(RandomAgentMessage);
    const auto decoded =
        DecodeAgentFrame(AsBytes(EncodeAgentFrame(kConnection, sent)));
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(decoded->connection == kConnection);
    RC_ASSERT(decoded->messages == sent);
  }));
}

// Guards against the same fault in messages from entry to agent.
TEST(EntryFrame, RoundTrip) {
  EXPECT_TRUE(rc::check("entry messages", [] {
    const auto sent = RandomMessages(RandomEntryMessage);
    const auto decoded =
        DecodeEntryFrame(AsBytes(EncodeEntryFrame(kConnection, sent)));
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(decoded->connection == kConnection);
    RC_ASSERT(decoded->messages == sent);
  }));
}

// Guards against a malformed frame that makes decoding throw, crash or read
// past the end of the frame.
TEST(Frames, RandomBytesNeverThrow) {
  EXPECT_TRUE(rc::check("random bytes", [] {
    const std::string bytes = RandomBytes();
    const auto agent = DecodeAgentFrame(AsBytes(bytes));
    RC_ASSERT(IsFrameOrMalformed(agent));
    const auto entry = DecodeEntryFrame(AsBytes(bytes));
    RC_ASSERT(IsFrameOrMalformed(entry));
  }));
}

// Guards against a truncated or corrupt frame being decoded into a message that
// was never sent.
TEST(Frames, TruncatedMessageIsRejected) {
  EXPECT_TRUE(rc::check("truncated", [] {
    const std::string whole = Encode(RandomEntryMessage());
    const auto size = *rc::gen::inRange<std::size_t>(0, whole.size());
    const std::string part = whole.substr(0, size);
    const auto decoded = DecodeEntryFrame(AsBytes(part));
    const bool no_message = !decoded || decoded->messages.empty();
    RC_ASSERT(no_message);
  }));
  EXPECT_TRUE(rc::check("one byte changed", [] {
    std::string bytes = Encode(RandomAgentMessage());
    bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] =
        RandomValue<char>();
    const auto decoded = DecodeAgentFrame(AsBytes(bytes));
    RC_ASSERT(IsFrameOrMalformed(decoded));
  }));
}

// Guards against values outside the ranges that the decision cores rely on.
TEST(Frames, ValuesOutOfRangeAreRejected) {
  const job_id job{"e1", incarnation{1}, 2, 3};
  const job_id no_entry{"", incarnation{1}, 2, 3};
  const job_id created_out_of_range{"e1", incarnation{1},
                                    std::uint64_t{1} << 48U, 3};
  const dispatch valid{job, 0, 1, dispatch_number{1}, "k", {}, 0, ""};
  ASSERT_TRUE(IsAccepted(valid));
  const auto with = [&valid](auto field, auto value) {
    dispatch changed = valid;
    changed.*field = value;
    return IsAccepted(changed);
  };
  EXPECT_FALSE(with(&dispatch::job, no_entry));
  EXPECT_FALSE(with(&dispatch::job, created_out_of_range));
  EXPECT_FALSE(with(&dispatch::task, 1U));
  EXPECT_FALSE(with(&dispatch::task_count, 0U));
  EXPECT_FALSE(with(&dispatch::task_count, 1201U));
  EXPECT_FALSE(with(&dispatch::number, dispatch_number{0}));
  EXPECT_FALSE(with(&dispatch::kind, "No Name"));
  EXPECT_FALSE(with(&dispatch::start_by, monotonic_time::max()));
  EXPECT_FALSE(with(&dispatch::start_by, monotonic_time(microseconds(-1))));

  task_report report;
  report.job = job;
  report.dispatch = dispatch_number{1};
  report.state = task_state::kCut;
  report.reason = task_reason::kEndpointCut;
  ASSERT_TRUE(IsAccepted(report));
  // In debug builds the generated setters reject unknown enumerators, so the
  // test changes fields 4 and 5 in the encoded frame.
  const std::string frame = Encode(agent_message(report));
  const std::string fields("\x20\x05\x28\x0a", 4);
  const std::size_t position = frame.find(fields);
  ASSERT_NE(position, std::string::npos);
  ASSERT_EQ(frame.find(fields, position + 1), std::string::npos);
  std::string unknown_state = frame;
  unknown_state[position + 1] = 6;
  EXPECT_FALSE(DecodeAgentFrame(AsBytes(unknown_state)).has_value());
  std::string unknown_reason = frame;
  unknown_reason[position + 3] = 11;
  EXPECT_FALSE(DecodeAgentFrame(AsBytes(unknown_reason)).has_value());

  hello greeting;
  greeting.agent = "a1";
  ASSERT_TRUE(IsAccepted(greeting));
  greeting.slots = kMaxSlots + 1;
  EXPECT_FALSE(IsAccepted(greeting));
  EXPECT_FALSE(IsAccepted(hello{}));
  EXPECT_FALSE(IsAccepted(config_offer{}));
}

// Guards against frames without a connection number, which would pass the check
// that drops frames of earlier connections.
TEST(Frames, ConnectionNumberIsRequired) {
  const entry_message message = drain_request{};
  const auto frame =
      EncodeEntryFrame(connection_number{0}, std::span(&message, 1));
  EXPECT_FALSE(DecodeEntryFrame(AsBytes(frame)).has_value());
  EXPECT_FALSE(DecodeEntryFrame({}).has_value());
}

}  // namespace
}  // namespace egretrack::wire
