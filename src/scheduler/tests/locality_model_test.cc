#include "scheduler/locality_model.h"

#include <gtest/gtest.h>

namespace egretrack::scheduler {
namespace {

constexpr milliseconds kNear{100};

// Guards against a decision without a factor at a cold start.
TEST(LocalityModel, BeginsWithTheSetting) {
  const locality_model model(3);
  EXPECT_NEAR(model.FarFactor("find", "a"), 3, 0.001);
}

// Guards against a wrong setting that stays in force.
TEST(LocalityModel, ReplacesAWrongSetting) {
  locality_model model(1.5);
  for (int run = 0; run < 20; ++run)
    model.ObserveFarRun("find", "a", kNear, 3 * kNear);
  EXPECT_NEAR(model.FarFactor("find", "a"), 3, 0.4);
  for (int run = 0; run < 100; ++run)
    model.ObserveFarRun("find", "a", kNear, kNear * 2);
  EXPECT_NEAR(model.FarFactor("find", "a"), 2, 0.1);
}

// Guards against a factor that one kind learns for another, and against one
// that a class without far runs doesn't share with the other classes.
TEST(LocalityModel, LearnsByKindAndClass) {
  locality_model model(1.5);
  for (int run = 0; run < 40; ++run) {
    model.ObserveFarRun("find", "a", kNear, 4 * kNear);
    model.ObserveFarRun("find", "b", kNear, 2 * kNear);
  }
  EXPECT_NEAR(model.FarFactor("find", "a"), 4, 0.4);
  EXPECT_NEAR(model.FarFactor("find", "b"), 2, 0.2);
  EXPECT_GT(model.FarFactor("find", "c"), 2);
  EXPECT_LT(model.FarFactor("find", "c"), 4);
  EXPECT_NEAR(model.FarFactor("other", "a"), 1.5, 0.001);
}

// Guards against a far run that is predicted to be shorter than a near one,
// which would send tasks away from free near workers.
TEST(LocalityModel, IsNeverBelowOne) {
  locality_model model(1.5);
  for (int run = 0; run < 100; ++run)
    model.ObserveFarRun("find", "a", kNear, kNear / 3);
  EXPECT_GE(model.FarFactor("find", "a"), 1);
}

// Guards against one straggler that changes the factor for all tasks.
TEST(LocalityModel, LimitsTheEffectOfAStraggler) {
  locality_model model(3);
  for (int run = 0; run < 40; ++run)
    model.ObserveFarRun("find", "a", kNear, 3 * kNear);
  model.ObserveFarRun("find", "a", kNear, 3 * 7 * kNear);
  EXPECT_LT(model.FarFactor("find", "a"), 3.3);
}

// Guards against learning from stopped runs that the factor is low.
TEST(LocalityModel, LearnsOnlyLongerTimesFromStoppedRuns) {
  locality_model model(3);
  model.ObserveFarLowerBound("find", "a", kNear, kNear);
  EXPECT_NEAR(model.FarFactor("find", "a"), 3, 0.001);
  model.ObserveFarLowerBound("find", "a", kNear, 6 * kNear);
  EXPECT_GT(model.FarFactor("find", "a"), 3.1);
}

}  // namespace
}  // namespace egretrack::scheduler
