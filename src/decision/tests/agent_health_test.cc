#include "decision/agent_health.h"

#include <gtest/gtest.h>

#include <array>
#include <utility>

namespace egretrack::decision {
namespace {

constexpr microseconds kMedian = milliseconds(100);

agent_health MakeHealth(int successes, int failures) {
  agent_health health;
  for (int i = 0; i < successes; ++i)
    health.RecordSuccess(kMedian, kMedian);
  for (int i = 0; i < failures; ++i)
    health.RecordFailure(kMedian, kMedian);
  return health;
}

// Guards against ejections that leave less than half of a desk's agents in
// service.
TEST(ShouldEject, KeepsHalfOfDeskInService) {
  agent_health ejected = MakeHealth(0, 20);
  ejected.Eject(monotonic_time(seconds(1)));
  const agent_health failing = MakeHealth(0, 20);
  const agent_health healthy = MakeHealth(20, 0);
  const std::array three = {&std::as_const(ejected), &failing, &healthy};
  EXPECT_FALSE(ShouldEject(failing, three));
  const std::array four = {&std::as_const(ejected), &failing, &healthy,
                           &healthy};
  EXPECT_TRUE(ShouldEject(failing, four));
  EXPECT_FALSE(ShouldEject(healthy, four));
}

}  // namespace
}  // namespace egretrack::decision
