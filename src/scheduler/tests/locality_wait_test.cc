#include "scheduler/locality_wait.h"

#include <set>

#include <gtest/gtest.h>

namespace egretrack::scheduler {
namespace {

// A run of 100 ms, three times as long far from the data; both are on time.
locality_options MakeOptions(microseconds near_wait) {
  locality_options options;
  options.near.wait = near_wait;
  options.near.run = milliseconds(100);
  options.far.run = milliseconds(300);
  options.far.far = true;
  options.time_to_target = milliseconds(1000);
  options.time_to_deadline = milliseconds(3000);
  return options;
}

// Guards against a far start although a near worker is free.
TEST(LocalityWait, UsesAFreeNearWorker) {
  const auto plan = DecideLocality(MakeOptions(milliseconds(0)));
  EXPECT_EQ(plan.decision, locality_decision::kNearNow);
}

// Guards against a wait that ends later than a far run would have.
TEST(LocalityWait, WaitsOnlyWhileTheNearEndIsEarlier) {
  const auto waits = DecideLocality(MakeOptions(milliseconds(30)));
  EXPECT_EQ(waits.decision, locality_decision::kNearWait);
  EXPECT_GE(waits.longest_wait, milliseconds(30));
  EXPECT_LE(waits.longest_wait, milliseconds(200));
  EXPECT_GT(waits.gain, microseconds(0));
  const auto leaves = DecideLocality(MakeOptions(milliseconds(150)));
  EXPECT_EQ(leaves.decision, locality_decision::kFarNow);
}

// Guards against a free near worker that is so slow that it ends later.
TEST(LocalityWait, LeavesASlowNearWorker) {
  auto options = MakeOptions(milliseconds(0));
  options.far.run = milliseconds(80);
  EXPECT_EQ(DecideLocality(options).decision, locality_decision::kFarNow);
}

// Guards against a hot label whose tasks leave a full rack all at one queue
// length.
TEST(LocalityWait, SpillsARisingShareOfTheTasks) {
  const auto count_far = [](milliseconds wait) {
    reluctance_sequence reluctances("e1");
    int far = 0;
    for (int task = 0; task < 100; ++task) {
      auto options = MakeOptions(wait);
      options.reluctance = reluctances.Next();
      const auto plan = DecideLocality(options);
      far += plan.decision == locality_decision::kFarNow ? 1 : 0;
    }
    return far;
  };
  EXPECT_EQ(count_far(milliseconds(20)), 0);
  EXPECT_GT(count_far(milliseconds(45)), 10);
  EXPECT_LT(count_far(milliseconds(45)), 50);
  EXPECT_GT(count_far(milliseconds(70)), 50);
  EXPECT_LT(count_far(milliseconds(70)), 90);
  EXPECT_EQ(count_far(milliseconds(120)), 100);
}

// Guards against equal tasks that are returned from a queue at one moment.
TEST(LocalityWait, SpreadsTheEndsOfWaits) {
  reluctance_sequence reluctances("e1");
  std::set<microseconds> bounds;
  for (int task = 0; task < 20; ++task) {
    auto options = MakeOptions(milliseconds(20));
    options.reluctance = reluctances.Next();
    bounds.insert(DecideLocality(options).longest_wait);
  }
  EXPECT_EQ(bounds.size(), 20U);
  EXPECT_GE(*bounds.rbegin() - *bounds.begin(), milliseconds(30));
}

// Guards against a wait that makes a far run late that would be on time.
TEST(LocalityWait, LeavesAFarRunOnTime) {
  auto options = MakeOptions(milliseconds(10));
  options.time_to_target = milliseconds(430);
  const auto plan = DecideLocality(options);
  EXPECT_EQ(plan.decision, locality_decision::kNearWait);
  EXPECT_LE(plan.longest_wait, milliseconds(130));
}

// Guards against leaving a short queue for a far run that is on time only if it
// does not exceed its prediction.
TEST(LocalityWait, TakesABarelyPunctualFarRunAsLate) {
  auto options = MakeOptions(milliseconds(60));
  options.reluctance = 0.5;
  EXPECT_EQ(DecideLocality(options).decision, locality_decision::kFarNow);
  options.time_to_target = milliseconds(340);
  EXPECT_EQ(DecideLocality(options).decision, locality_decision::kNearWait);
}

// Guards against a far start after the time at which it could still end by the
// deadline.
TEST(LocalityWait, EndsInTimeForAFarStart) {
  auto options = MakeOptions(milliseconds(10));
  options.time_to_target = milliseconds(200);
  options.time_to_deadline = milliseconds(350);
  const auto plan = DecideLocality(options);
  EXPECT_EQ(plan.decision, locality_decision::kNearWait);
  EXPECT_LE(plan.longest_wait, milliseconds(50));
}

// Guards against a far start that cannot end by the deadline while a near one
// can.
TEST(LocalityWait, KeepsToNearWhenTheDeadlineIsTooNearForFar) {
  auto options = MakeOptions(milliseconds(120));
  options.time_to_target = milliseconds(160);
  options.time_to_deadline = milliseconds(250);
  options.reluctance = 1;
  const auto plan = DecideLocality(options);
  EXPECT_EQ(plan.decision, locality_decision::kNearWait);
  EXPECT_GE(plan.longest_wait, milliseconds(120));
  EXPECT_LE(plan.longest_wait, milliseconds(250));
}

// Guards against a far start that the agent refuses, because not even half the
// run fits before the deadline; the job would then be given up.
TEST(LocalityWait, NeverStartsFarAfterItsStartLimit) {
  auto options = MakeOptions(milliseconds(500));
  options.time_to_target = milliseconds(0);
  options.time_to_deadline = milliseconds(149);
  EXPECT_EQ(DecideLocality(options).decision, locality_decision::kNearWait);
}

// Guards against a task that waits again as long after a wait in vain.
TEST(LocalityWait, SubtractsEarlierWaits) {
  auto options = MakeOptions(milliseconds(30));
  options.wait_used = DecideLocality(options).longest_wait;
  EXPECT_EQ(DecideLocality(options).decision, locality_decision::kFarNow);
  options.near.wait = milliseconds(0);
  EXPECT_EQ(DecideLocality(options).decision, locality_decision::kNearNow);
}

// Guards against far runs that push the tasks of full workers away from their
// data in turn.
TEST(LocalityWait, CountsTheDelayOfOthersOnAFullFarWorker) {
  auto options = MakeOptions(milliseconds(75));
  EXPECT_EQ(DecideLocality(options).decision, locality_decision::kNearWait);
  options.near.wait = milliseconds(110);
  EXPECT_EQ(DecideLocality(options).decision, locality_decision::kFarNow);
  options.far.wait = milliseconds(1);
  EXPECT_EQ(DecideLocality(options).decision, locality_decision::kNearWait);
}

// Guards against a task that stays on a worker that was wrongly taken for free
// while others of the rack may be free.
TEST(QueueBoundByPlan, IsShortForAWorkerTakenForFree) {
  locality_plan plan{locality_decision::kNearNow, milliseconds(100), {}};
  EXPECT_EQ(QueueBoundByPlan(plan, milliseconds(8)), milliseconds(8));
  plan.decision = locality_decision::kNearWait;
  EXPECT_EQ(QueueBoundByPlan(plan, milliseconds(8)), milliseconds(100));
  plan.decision = locality_decision::kFarNow;
  EXPECT_EQ(QueueBoundByPlan(plan, milliseconds(8)), milliseconds(8));
}

}  // namespace
}  // namespace egretrack::scheduler
