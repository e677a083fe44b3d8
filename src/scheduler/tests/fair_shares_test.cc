#include <gtest/gtest.h>

#include "scheduler/tests/agent_replay.h"

// Replays of one entry, one caller or one hot label with more than its share.
namespace egretrack::scheduler {
namespace {

// Guards against an entry that sends three times what the worker runs and
// starves the tasks of another one: they are served as often as its own.
TEST(FairShares, OneEntryDoesNotStarveAnother) {
  const auto results = agent_replay().Play(
      {{.per_second = 450}, {.per_second = 30, .entry = 1}}, seconds(4));
  EXPECT_GE(results[1].OnTimeShare(), 0.5 * results[0].OnTimeShare());
  EXPECT_GT(results[1].OnTimeShare(), 0.2);
}

// Guards against a caller whose job of 1,200 tasks keeps the tasks of others
// back until it has ended, 8 s later.
TEST(FairShares, OneWideJobDoesNotStarveOthers) {
  const auto results =
      agent_replay().Play({{.burst = 1200}, {.per_second = 60}}, seconds(4));
  EXPECT_GT(results[1].OnTimeShare(), 0.9);
}

// Guards against a hot label, with tasks that are long because they miss it,
// that starves the tasks without a label on the same worker.
TEST(FairShares, HotLabelDoesNotStarveOthers) {
  const auto results = agent_replay().Play(
      {{.per_second = 300, .run = milliseconds(180)}, {.per_second = 40}},
      seconds(4));
  EXPECT_GT(results[1].OnTimeShare(), 0.43);
}

}  // namespace
}  // namespace egretrack::scheduler
