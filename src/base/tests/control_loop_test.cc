#include "egretrack/base/control_loop.h"

#include <atomic>

#include <gtest/gtest.h>

namespace egretrack {
namespace {

// Guards against timers that never fire while no event arrives.
TEST(ControlLoop, CallsHandlerAtRequestedTime) {
  mailbox<int> events(4);
  std::atomic<int> calls = 0;
  control_loop<int> loop(events, [&](std::span<int>, monotonic_time now) {
    ++calls;
    calls.notify_all();
    return now + milliseconds(1);
  });
  loop.Start();
  while (calls < 3)
    calls.wait(calls);
  loop.Stop();
  EXPECT_GE(calls, 3);
}

// Guards against events that are lost when the loop stops.
TEST(ControlLoop, StopHandlesQueuedEvents) {
  mailbox<int> events(1000);
  int sum = 0;
  control_loop<int> loop(events, [&](std::span<int> batch, monotonic_time) {
    for (const int value : batch)
      sum += value;
    return monotonic_time::max();
  });
  for (int i = 0; i < 1000; ++i)
    ASSERT_TRUE(events.TryPush(1));
  loop.Start();
  loop.Stop();
  EXPECT_EQ(sum, 1000);
}

}  // namespace
}  // namespace egretrack
