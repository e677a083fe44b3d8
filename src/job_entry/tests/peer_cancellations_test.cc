#include "job_entry/peer_cancellations.h"

#include <gtest/gtest.h>

namespace egretrack::job_entry {
namespace {

constexpr scheduler::caller_token kCaller{7};

// Guards against an "unknown job" while an entry that may have it has not
// answered.
TEST(PeerCancellations, AreUnknownOnlyAfterTheLastAnswer) {
  peer_cancellations cancellations;
  cancellations.Start(kCaller, 2);
  EXPECT_FALSE(cancellations.Record(kCaller, peer_cancel_answer::kUnknownJob));
  const auto outcome = cancellations.Record(kCaller, peer_cancel_answer::kNone);
  ASSERT_TRUE(outcome.has_value());
  EXPECT_FALSE(outcome->cancelled);
  EXPECT_EQ(outcome->unanswered, 1U);
}

// Guards against a cancellation that is lost because the connection to the
// entry that has the job went silent, and against one that is repeated for
// good.
TEST(PeerCancellations, AreRepeatedOnceAfterATimeout) {
  peer_cancellation call{kCaller, "10.0.0.1", "/v1/jobs/cancel"};
  EXPECT_TRUE(
      peer_cancellations::ShouldRepeat(call, peer_cancel_answer::kTimedOut));
  EXPECT_FALSE(
      peer_cancellations::ShouldRepeat(call, peer_cancel_answer::kNone));
  EXPECT_FALSE(
      peer_cancellations::ShouldRepeat(call, peer_cancel_answer::kUnknownJob));
  call.repeated = true;
  EXPECT_FALSE(
      peer_cancellations::ShouldRepeat(call, peer_cancel_answer::kTimedOut));
}

// Guards against a caller that waits for entries that are out of reach after
// the job was cancelled, and against a second answer to it.
TEST(PeerCancellations, AreCertainWithTheFirstEntryThatCancelled) {
  peer_cancellations cancellations;
  cancellations.Start(kCaller, 2);
  const auto outcome =
      cancellations.Record(kCaller, peer_cancel_answer::kCancelled);
  ASSERT_TRUE(outcome.has_value());
  EXPECT_TRUE(outcome->cancelled);
  EXPECT_FALSE(cancellations.Record(kCaller, peer_cancel_answer::kNone));
}

}  // namespace
}  // namespace egretrack::job_entry
