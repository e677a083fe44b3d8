#include "decision/agent_entry_clock_bound.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cmath>

namespace egretrack::decision {
namespace {

constexpr double kDrift = 0.001;

// Guards against a local deadline at which the home entry's clock has already
// passed the limit, for any delay of the reply and any rate within the drift.
TEST(EntryClockBound, BoundHoldsForEveryDelayAndRate) {
  EXPECT_TRUE(rc::check("bound", [] {
    const double rate = 1 + kDrift * *rc::gen::inRange(-1000, 1001) / 1000;
    const auto time = rc::gen::inRange<std::int64_t>(0, 1000000000);
    const std::int64_t ahead = *time;
    // Time of the home entry's clock at local time `at`.
    const auto home_at = [&](double at) {
      return static_cast<double>(ahead) + at * rate;
    };
    const std::int64_t sent = *time;
    const auto replied = static_cast<double>(sent + *time);
    entry_clock_bound clock(kDrift);
    wire::heartbeat_reply reply;
    reply.entry = "e1";
    reply.entry_time = monotonic_time(
        microseconds(static_cast<std::int64_t>(home_at(replied))));
    clock.Observe(reply, monotonic_time(microseconds(sent)));
    const monotonic_time limit = reply.entry_time + microseconds(*time);
    const job_id job{"e1", incarnation{}, 0, 0};
    const monotonic_time before = clock.ToLocalDeadline(job, limit);
    if (before != monotonic_time::min()) {
      const auto last = static_cast<double>(before.time_since_epoch().count());
      RC_ASSERT(last < replied ||
                home_at(last) <=
                    static_cast<double>(limit.time_since_epoch().count()));
    }
  }));
}

// Guards against a bound that is computed from the clock of another entry or
// incarnation.
TEST(EntryClockBound, HasNoBoundForOtherIncarnations) {
  entry_clock_bound clock(kDrift);
  const monotonic_time limit{seconds(100)};
  const job_id job{"e1", incarnation{3}, 0, 0};
  EXPECT_EQ(clock.ToLocalDeadline(job, limit), monotonic_time::min());
  wire::heartbeat_reply reply;
  reply.entry = "e1";
  reply.entry_incarnation = incarnation{3};
  clock.Observe(reply, monotonic_time(seconds(1)));
  EXPECT_GT(clock.ToLocalDeadline(job, limit), monotonic_time(seconds(99)));
  EXPECT_EQ(clock.ToLocalDeadline({"e2", incarnation{3}, 0, 0}, limit),
            monotonic_time::min());
  EXPECT_EQ(clock.ToLocalDeadline({"e1", incarnation{4}, 0, 0}, limit),
            monotonic_time::min());
}

// Guards against a reordered reply that replaces the bound of a later one.
TEST(EntryClockBound, ReplyToOlderHeartbeatIsIgnored) {
  entry_clock_bound clock(kDrift);
  const job_id job{"e1", incarnation{3}, 0, 0};
  wire::heartbeat_reply reply;
  reply.entry = "e1";
  reply.entry_incarnation = incarnation{3};
  reply.entry_time = monotonic_time(seconds(100));
  clock.Observe(reply, monotonic_time(seconds(2)));
  const monotonic_time limit{seconds(101)};
  const monotonic_time before = clock.ToLocalDeadline(job, limit);
  reply.entry_time = monotonic_time(seconds(90));
  clock.Observe(reply, monotonic_time(seconds(1)));
  EXPECT_EQ(clock.ToLocalDeadline(job, limit), before);
}

}  // namespace
}  // namespace egretrack::decision
