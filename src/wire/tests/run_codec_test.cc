#include "egretrack/wire/run_codec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace egretrack::wire {
namespace {

std::span<const std::byte> AsBytes(const std::string& text) {
  return std::as_bytes(std::span(text));
}

agent_run_frame AgentFrame() {
  agent_run_frame frame;
  frame.agent = "a1";
  frame.agent_incarnation = incarnation{0xfedcba9876543210};
  frame.connection = connection_number{3};
  frame.entry_incarnation = incarnation{0x0123456789abcdef};
  frame.load = {12, {-1600, 64, 0}, 2, microseconds(1500)};
  agent_beat beat;
  beat.sequence = 9;
  beat.failure_domain = "palermo";
  beat.members_hash = 77;
  beat.worker.push_back({"w", "gas", {"a", "r1"}, {16000, 32768, 1}, 77});
  beat.draining = true;
  beat.settled = true;
  beat.evacuations_hash = 88;
  beat.evacuations.push_back({"catania", 5, true});
  frame.messages.emplace_back(beat);
  frame.messages.emplace_back(run_report{5, 2, 3, run_end::kLost,
                                         run_reason::kStalled, microseconds(7),
                                         microseconds(8)});
  frame.messages.emplace_back(run_report{6, 2, 3, run_end::kRefused,
                                         run_reason::kEvacuated,
                                         microseconds(7), microseconds(0)});
  frame.messages.emplace_back(run_report{7, 2, 3, run_end::kRefused,
                                         run_reason::kWorkerChanged,
                                         microseconds(7), microseconds(0)});
  return frame;
}

entry_run_frame EntryFrame() {
  entry_run_frame frame;
  frame.connection = connection_number{3};
  frame.entry = "e1";
  frame.entry_incarnation = incarnation{42};
  frame.entry_time = monotonic_time(microseconds(123456789));
  frame.messages.emplace_back(beat_reply{
      9, 77, {{"e1", "10.0.0.1:7"}}, true, 88, {{"catania", 6, false}}});
  run_dispatch dispatch;
  dispatch.job = 5;
  dispatch.task = 2;
  dispatch.attempt = 3;
  dispatch.job_key = "5c0e";
  dispatch.step = 1;
  dispatch.index = 17;
  dispatch.need = {1600, 64, 0};
  dispatch.spec = std::string("a\0b", 3);
  dispatch.predicted = milliseconds(51);
  dispatch.start_by = monotonic_time(microseconds(99));
  dispatch.target = microseconds(-5);
  dispatch.queue_bound = milliseconds(100);
  dispatch.virtual_deadline = microseconds(-7);
  dispatch.worker_revision = 77;
  frame.messages.emplace_back(dispatch);
  frame.messages.emplace_back(run_cancel{5, {1, 2}});
  return frame;
}

// Guards against a field that encoding or decoding omits or swaps with another.
TEST(RunCodec, RoundTripKeepsEveryField) {
  EXPECT_EQ(DecodeAgentRunFrame(AsBytes(EncodeFrame(AgentFrame()))).value(),
            AgentFrame());
  EXPECT_EQ(DecodeEntryRunFrame(AsBytes(EncodeFrame(EntryFrame()))).value(),
            EntryFrame());
}

// Guards against rejecting the frames of an agent of an earlier release, which
// do not name the entry process, and of an agent that does not know it yet.
TEST(RunCodec, EntryIncarnationOfAgentFrameIsOptional) {
  agent_run_frame frame = AgentFrame();
  frame.entry_incarnation.reset();
  EXPECT_EQ(DecodeAgentRunFrame(AsBytes(EncodeFrame(frame))).value(), frame);
}

// Decoding must fail with errc::kParseFailed or yield a frame that passes
// another round trip.
template <typename Frame>
void ExpectErrorOrRoundTrip(result<Frame> (*decode)(std::span<const std::byte>),
                            const std::string& bytes) {
  const auto frame = decode(AsBytes(bytes));
  if (!frame) {
    RC_ASSERT(frame.error().code == errc::kParseFailed);
    return;
  }
  const auto reencoded = decode(AsBytes(EncodeFrame(*frame)));
  RC_ASSERT(reencoded.has_value());
  RC_ASSERT(*reencoded == *frame);
}

// Guards against a process that a peer can crash with malformed bytes.
RC_GTEST_PROP(RunCodec, RandomBytesNeverThrow, (const std::string& bytes)) {
  ExpectErrorOrRoundTrip(&DecodeAgentRunFrame, bytes);
  ExpectErrorOrRoundTrip(&DecodeEntryRunFrame, bytes);
}

// Guards against a truncated or corrupt frame being decoded in part: the parser
// must reject it or read another valid frame.
RC_GTEST_PROP(RunCodec, CorruptFramesAreNotDecodedInPart, ()) {
  std::string bytes = EncodeFrame(AgentFrame());
  const auto position = *rc::gen::inRange<std::size_t>(0, bytes.size());
  bytes[position] = static_cast<char>(*rc::gen::inRange(0, 256));
  bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
  ExpectErrorOrRoundTrip(&DecodeAgentRunFrame, bytes);
}

}  // namespace
}  // namespace egretrack::wire
