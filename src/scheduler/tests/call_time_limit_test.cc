#include "scheduler/call_time_limit.h"

#include <random>

#include <gtest/gtest.h>

namespace egretrack::scheduler {
namespace {

constexpr milliseconds kLongest{150};
constexpr milliseconds kSlowestAnswer{90};

void AnswerAfter(call_time_limit& limit, microseconds time, int calls) {
  for (int call = 0; call < calls; ++call)
    limit.OnAnswered(time);
}

// Guards against longer waits for lost calls to a worker that is not slow, for
// example because a few answers take the whole of the shortest limit.
TEST(CallTimeLimit, StaysShortForAFastWorker) {
  call_time_limit limit(kLongest);
  EXPECT_EQ(limit.limit(), call_time_limit::kShortest);
  for (int call = 0; call < 200; ++call) {
    limit.OnAnswered(call % 2 == 0 ? milliseconds(1) : milliseconds(2));
    EXPECT_EQ(limit.limit(), call_time_limit::kShortest);
  }
  AnswerAfter(limit, microseconds(0), 200);
  EXPECT_EQ(limit.limit(), call_time_limit::kShortest);
}

// Guards against calls that are given up because the worker answers after 0 to
// 90 ms. Of calls with a limit of 20 ms, 78 of 100 were given up.
TEST(CallTimeLimit, FollowsAWorkerThatHasBecomeSlow) {
  std::mt19937_64 random(1);
  std::uniform_int_distribution<std::int64_t> answer_us(
      0, microseconds(kSlowestAnswer).count());
  call_time_limit limit(kLongest);
  AnswerAfter(limit, milliseconds(1), 50);
  int timed_out = 0;
  int late_timed_out = 0;
  for (int call = 0; call < 1000; ++call) {
    const microseconds time(answer_us(random));
    if (time <= limit.limit()) {
      limit.OnAnswered(time);
      continue;
    }
    limit.OnTimedOut(limit.limit());
    ++timed_out;
    late_timed_out += call >= 10 ? 1 : 0;
  }
  EXPECT_LE(timed_out, 20);
  EXPECT_LE(late_timed_out, 15);
}

// Guards against long waits for lost calls once the worker is fast again.
TEST(CallTimeLimit, ReturnsWithFastAnswers) {
  call_time_limit limit(kLongest);
  for (int call = 0; call < 20; ++call)
    limit.OnTimedOut(limit.limit());
  EXPECT_EQ(limit.limit(), kLongest);
  AnswerAfter(limit, milliseconds(1), 40);
  EXPECT_LE(limit.limit(), call_time_limit::kShortest + milliseconds(5));
}

// Guards against a limit that shrinks because a call with a limit of its own,
// shorter than that of other calls, was given up.
TEST(CallTimeLimit, IsNeverShortenedByATimeout) {
  call_time_limit limit(kLongest);
  AnswerAfter(limit, milliseconds(60), 100);
  for (const int timeout_ms : {20, 30, 45, 60, 80, 150}) {
    const milliseconds before = limit.limit();
    limit.OnTimedOut(milliseconds(timeout_ms));
    EXPECT_GE(limit.limit(), before) << timeout_ms;
  }
}

// Guards against a limit beyond what the lease and the stop bound allow, and
// against one that no busy worker can meet where they allow less than 20 ms.
TEST(CallTimeLimit, KeepsItsBounds) {
  call_time_limit limit(kLongest);
  AnswerAfter(limit, seconds(3), 100);
  EXPECT_EQ(limit.limit(), kLongest);
  call_time_limit tight(milliseconds(5));
  EXPECT_EQ(tight.limit(), call_time_limit::kShortest);
  tight.OnTimedOut(tight.limit());
  EXPECT_EQ(tight.limit(), call_time_limit::kShortest);
}

}  // namespace
}  // namespace egretrack::scheduler
