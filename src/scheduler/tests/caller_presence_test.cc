#include "scheduler/caller_presence.h"

#include <gtest/gtest.h>

namespace egretrack::scheduler {
namespace {

constexpr milliseconds kMaxAge{300};
constexpr monotonic_time kStart{seconds(100)};

// Guards against work that begins on old news of the caller.
TEST(CallerPresence, EndsWithTheAgeOfTheNews) {
  const caller_presence caller(kStart);
  EXPECT_EQ(caller.Judge(kStart + kMaxAge, kMaxAge), presence::kPresent);
  EXPECT_EQ(caller.Judge(kStart + kMaxAge + microseconds(1), kMaxAge),
            presence::kUnknown);
}

// Guards against a check for every attempt to dispatch while one is under way.
TEST(CallerPresence, IsCheckedOnceUntilTheAnswer) {
  caller_presence caller(kStart);
  const monotonic_time later = kStart + seconds(2);
  caller.RecordCheck();
  EXPECT_EQ(caller.Judge(later, kMaxAge), presence::kCheckPending);
  caller.RecordSeen(later);
  EXPECT_EQ(caller.Judge(later, kMaxAge), presence::kPresent);
}

// Guards against an answer that was given before a standstill and is read after
// it.
TEST(CallerPresence, IsUnknownAfterAnAnswerThatIsOldItself) {
  caller_presence caller(kStart);
  caller.RecordCheck();
  caller.RecordSeen(kStart + seconds(1));
  EXPECT_EQ(caller.Judge(kStart + seconds(2), kMaxAge), presence::kUnknown);
}

// Guards against a later answer of an earlier look that makes the news older.
TEST(CallerPresence, KeepsTheLatestNews) {
  caller_presence caller(kStart + seconds(2));
  caller.RecordSeen(kStart);
  EXPECT_EQ(caller.seen_at(), kStart + seconds(2));
}

}  // namespace
}  // namespace egretrack::scheduler
