#include "decision/kind_profile.h"

#include <gtest/gtest.h>

namespace egretrack::decision {
namespace {

// Guards against an estimate that keeps a wrong declared run time, or does not
// follow a change of the run times.
TEST(KindProfile, LearnsRunTimeAndClass) {
  kind_profile profile(milliseconds(100));
  EXPECT_EQ(profile.classification(), run_class::kShort);
  for (int i = 0; i < 64; ++i)
    profile.Add(seconds(4));
  EXPECT_EQ(profile.classification(), run_class::kLong);
  EXPECT_NEAR(profile.median().count(), 4e6, 0.2 * 4e6);
  EXPECT_TRUE(profile.IsStraggler(seconds(30)));
  for (int i = 0; i < 5000; ++i)
    profile.Add(milliseconds(50));
  EXPECT_EQ(profile.classification(), run_class::kShort);
  EXPECT_NEAR(profile.mean().count(), 50e3, 60e3);
}

}  // namespace
}  // namespace egretrack::decision
