#include "scheduler/contact_history.h"

#include <vector>

#include <gtest/gtest.h>

namespace egretrack::scheduler {
namespace {

constexpr monotonic_time kCutAt{seconds(100)};

class ContactHistory : public testing::Test {
 protected:
  // The silent processes are heard of again at `now`.
  void Return(monotonic_time now) {
    history_.Observe(contacts_, now);
    for (monotonic_time& contact : contacts_)
      contact = now;
    history_.Observe(contacts_, now);
  }

  contact_history history_{milliseconds(1300)};
  std::vector<monotonic_time> contacts_{kCutAt, kCutAt + milliseconds(10),
                                        kCutAt - milliseconds(700)};
};

// Guards against a request that was sent during a cut and is read right after
// it, before any agent is heard of (review, case 11).
TEST_F(ContactHistory, RequestMayBeDelayedWhileMostProcessesAreSilent) {
  const monotonic_time now = kCutAt + seconds(4);
  history_.Observe(contacts_, now);
  EXPECT_TRUE(history_.MayBeDelayed(kCutAt - seconds(1), now));
}

// Guards against forgetting the cut while TCP still waits to repeat what was
// sent during it.
TEST_F(ContactHistory, RequestMayBeDelayedForAsLongAsTheLossLasted) {
  const monotonic_time end = kCutAt + seconds(4);
  Return(end);
  EXPECT_TRUE(history_.MayBeDelayed(kCutAt, end + milliseconds(4900)));
  EXPECT_FALSE(history_.MayBeDelayed(kCutAt, end + milliseconds(5100)));
}

// Guards against delaying the requests of callers that cannot have left: they
// were answered lately, or after the cut.
TEST_F(ContactHistory, RequestThatWasSentLatelyIsNotDelayed) {
  const monotonic_time end = kCutAt + seconds(4);
  Return(end);
  const monotonic_time now = end + seconds(2);
  EXPECT_FALSE(history_.MayBeDelayed(now - milliseconds(1299), now));
  EXPECT_FALSE(history_.MayBeDelayed(end + milliseconds(1), now));
  EXPECT_TRUE(history_.MayBeDelayed(end, now));
}

// Guards against a price for callers on a day without cuts: after heartbeats
// that are late, or when processes crash.
TEST_F(ContactHistory, SingleSilentProcessesAreNoLossOfContact) {
  const monotonic_time now = kCutAt + seconds(4);
  contacts_ = {now, now - milliseconds(1200), kCutAt};
  history_.Observe(contacts_, now);
  EXPECT_FALSE(history_.MayBeDelayed(kCutAt, now));
}

// Guards against taking a machine for cut off because most of the processes
// that it ever knew have ended.
TEST_F(ContactHistory, ProcessesThatAreGoneDoNotCount) {
  const monotonic_time now = kCutAt + seconds(70);
  contacts_ = {kCutAt, kCutAt, now};
  history_.Observe(contacts_, now);
  EXPECT_FALSE(history_.MayBeDelayed(kCutAt, now));
}

// Guards against two cuts in a row: what the first one held up may be sent
// again during the second one.
TEST_F(ContactHistory, LossesInARowCountAsOne) {
  Return(kCutAt + seconds(4));
  const monotonic_time end = kCutAt + seconds(8);
  Return(end);
  EXPECT_TRUE(history_.MayBeDelayed(kCutAt, end + seconds(8)));
}

}  // namespace
}  // namespace egretrack::scheduler
