#include "egretrack/base/mailbox.h"

#include <future>
#include <memory>
#include <thread>

#include <gtest/gtest.h>

namespace egretrack {
namespace {

// Guards against a full mailbox that moves from the event that it rejects.
TEST(Mailbox, FullMailboxLeavesEventUnmoved) {
  mailbox<std::unique_ptr<int>> events(1);
  ASSERT_TRUE(events.TryPush(std::make_unique<int>(1)));
  auto second = std::make_unique<int>(2);
  EXPECT_FALSE(events.TryPush(std::move(second)));
  ASSERT_NE(second, nullptr);
  EXPECT_EQ(*second, 2);
}

// Guards against task reports that are lost while requests of callers fill the
// mailbox.
TEST(Mailbox, RequiredEventIgnoresCapacity) {
  mailbox<int> events(1);
  ASSERT_TRUE(events.TryPush(1));
  EXPECT_TRUE(events.PushRequired(2));
  std::vector<int> batch;
  EXPECT_TRUE(events.WaitBatch(batch, monotonic_clock::now()));
  EXPECT_EQ(batch, (std::vector<int>{1, 2}));
}

// Guards against events that are dropped when the process stops.
TEST(Mailbox, CloseDeliversQueuedEvents) {
  mailbox<int> events(4);
  ASSERT_TRUE(events.TryPush(1));
  events.Close();
  EXPECT_FALSE(events.TryPush(2));
  std::vector<int> batch;
  EXPECT_TRUE(events.WaitBatch(batch, monotonic_time::max()));
  EXPECT_EQ(batch.size(), 1U);
  EXPECT_FALSE(events.WaitBatch(batch, monotonic_time::max()));
}

// Guards against a control thread that spins while nothing is due: a wait until
// monotonic_time::max() overflowed and returned at once.
TEST(Mailbox, WaitsWithoutDeadline) {
  mailbox<int> events(4);
  std::vector<int> batch;
  auto waiter = std::async(std::launch::async, [&] {
    return events.WaitBatch(batch, monotonic_time::max());
  });
  EXPECT_EQ(waiter.wait_for(milliseconds(50)), std::future_status::timeout);
  events.Close();
  EXPECT_FALSE(waiter.get());
}

// Guards against a waiting control thread that a new event does not wake.
TEST(Mailbox, PushWakesWaiter) {
  mailbox<int> events(4);
  std::vector<int> batch;
  std::thread waiter(
      [&] { events.WaitBatch(batch, monotonic_clock::now() + seconds(60)); });
  ASSERT_TRUE(events.TryPush(5));
  waiter.join();
  EXPECT_EQ(batch, std::vector<int>{5});
}

}  // namespace
}  // namespace egretrack
