#include <gtest/gtest.h>

#include "egretrack/scheduler/evacuation_map.h"
#include "scheduler/tests/supervisor_driver.h"

namespace egretrack::scheduler {
namespace {

using wire::run_end;
using wire::run_reason;
using evacuations = std::vector<wire::domain_evacuation>;

class RunSupervisorEvacuation : public testing::Test {
 protected:
  void SetUp() override { driver_.ConnectIdleWorker(); }

  wire::beat_reply MakeReply(const evacuations& values) {
    entry_map_.Merge(values);
    wire::beat_reply reply;
    reply.evacuations_hash = entry_map_.hash();
    reply.evacuations = entry_map_.values();
    return reply;
  }

  // Entry `entry` sends what it knows, without a heartbeat to answer.
  void Announce(entry_index entry, const evacuations& values) {
    auto frame = driver_.MakeFrame(entry);
    frame.messages.emplace_back(MakeReply(values));
    driver_.Handle(entry_frame{entry, frame});
  }

  std::size_t CountStarts() const {
    return driver_.Commands<start_run>().size();
  }

  evacuation_map entry_map_;
  supervisor_driver driver_;
};

// Guards against a task that starts in an evacuated domain because an entry
// that does not know of the evacuation dispatches it.
TEST_F(RunSupervisorEvacuation, RefusesDispatchOfAnyEntry) {
  Announce(0, {{"palermo", 5, true}});
  driver_.Dispatch(0);
  driver_.Dispatch(1, milliseconds(100), 1);
  EXPECT_EQ(CountStarts(), 0U);
  const auto reports = driver_.Reports();
  ASSERT_EQ(reports.size(), 2U);
  for (const wire::run_report& report : reports) {
    EXPECT_EQ(report.end, run_end::kRefused);
    EXPECT_EQ(report.reason, run_reason::kEvacuated);
  }
  EXPECT_EQ(driver_.core->counters().evacuation_refusals, 2U);
  EXPECT_EQ(driver_.core->gauges().evacuated_domains, 1U);
}

// Guards against queued tasks that start as soon as running ones end, and
// against running ones that are stopped.
TEST_F(RunSupervisorEvacuation, ReturnsQueuedAndKeepsRunningTasks) {
  for (std::uint32_t task = 0; task < 12; ++task) {
    driver_.Dispatch(task);
    driver_.AnswerStart(supervisor_driver::RunId(task));
  }
  ASSERT_EQ(CountStarts(), 10U);
  Announce(1, {{"palermo", 5, true}});
  ASSERT_EQ(driver_.Reports().size(), 2U);
  EXPECT_EQ(driver_.Reports()[0].reason, run_reason::kEvacuated);
  EXPECT_EQ(driver_.core->gauges().running, 10U);
  EXPECT_TRUE(driver_.Commands<stop_run>().empty());
  driver_.AnswerPoll({}, {{1, supervisor_driver::RunId(3), run_end::kDone}});
  EXPECT_EQ(driver_.Reports().back().end, run_end::kDone);
  EXPECT_EQ(CountStarts(), 10U);
}

// Guards against a start call that is repeated after the agent has heard of the
// evacuation.
TEST_F(RunSupervisorEvacuation, DoesNotRepeatUnansweredStart) {
  driver_.Dispatch(0);
  ASSERT_EQ(CountStarts(), 1U);
  Announce(0, {{"palermo", 5, true}});
  driver_.AnswerStart(supervisor_driver::RunId(0),
                      worker_call_result::kUnanswered);
  EXPECT_EQ(CountStarts(), 1U);
  EXPECT_EQ(driver_.Commands<stop_run>().size(), 1U);
}

// Guards against a start that the worker refused for its fencing token and that
// is queued and sent again.
TEST_F(RunSupervisorEvacuation, ReturnsRequeuedStart) {
  driver_.Dispatch(0);
  Announce(0, {{"palermo", 5, true}});
  driver_.AnswerStart(supervisor_driver::RunId(0), worker_call_result::kFenced);
  EXPECT_EQ(CountStarts(), 1U);
  ASSERT_EQ(driver_.Reports().size(), 1U);
  EXPECT_EQ(driver_.Reports()[0].reason, run_reason::kEvacuated);
}

// Guards against an entry without the store that goes on dispatching to a
// domain although its agents have learned of the evacuation elsewhere.
TEST_F(RunSupervisorEvacuation, PassesListOnAtOnce) {
  Announce(0, {{"enna", 5, true}});
  const auto heartbeat = driver_.LastHeartbeat(1);
  ASSERT_TRUE(heartbeat);
  EXPECT_EQ(heartbeat->evacuations_hash, entry_map_.hash());
  EXPECT_EQ(heartbeat->evacuations, entry_map_.values());
  // The entry that sent the list does not get it back.
  EXPECT_TRUE(driver_.LastHeartbeat(0)->evacuations.empty());
}

// Guards against heartbeats in a tight loop to an entry that never adopts the
// list, such as one of an earlier release.
TEST_F(RunSupervisorEvacuation, SendsListWithoutLoop) {
  Announce(0, {{"enna", 5, true}});
  const auto count = [this] {
    return driver_.Commands<send_to_entry>().size();
  };
  for (int answer = 0; answer < 3; ++answer)
    driver_.AnswerHeartbeats();
  const std::size_t before = count();
  for (int answer = 0; answer < 3; ++answer)
    driver_.AnswerHeartbeats();
  EXPECT_EQ(count(), before);
  EXPECT_EQ(driver_.LastHeartbeat(1)->evacuations, entry_map_.values());
}

// Guards against an entry that dispatches again and again because it lost the
// message about the evacuation.
TEST_F(RunSupervisorEvacuation, RefusalCarriesListToEntryWithoutIt) {
  Announce(0, {{"palermo", 5, true}});
  for (int answer = 0; answer < 3; ++answer)
    driver_.AnswerHeartbeats();
  const auto before = driver_.LastHeartbeat(1)->sequence;
  driver_.Dispatch(0, milliseconds(100), 1);
  EXPECT_EQ(driver_.LastHeartbeat(1)->sequence, before + 1);
  EXPECT_EQ(driver_.LastHeartbeat(1)->evacuations, entry_map_.values());
  EXPECT_EQ(driver_.Reports().size(), 1U);
}

// Guards against an entry that has restarted without the store and is not told
// again, because the agent believes that the entry has the list.
TEST_F(RunSupervisorEvacuation, TellsRestartedEntry) {
  Announce(0, {{"enna", 5, true}});
  Announce(1, {});
  EXPECT_TRUE(driver_.LastHeartbeat(1));
  driver_.RestartEntry(1);
  driver_.AnswerHeartbeats({1});
  EXPECT_EQ(driver_.LastHeartbeat(1)->evacuations, entry_map_.values());
}

// Guards against a domain that stays out of service after the row was removed,
// and against a late copy of the row that evacuates it again.
TEST_F(RunSupervisorEvacuation, StartsAgainAfterRemoval) {
  Announce(0, {{"palermo", 5, true}});
  Announce(1, {{"palermo", 9, false}});
  auto frame = driver_.MakeFrame(0);
  wire::beat_reply late;
  late.evacuations = {{"palermo", 5, true}};
  frame.messages.emplace_back(late);
  driver_.Handle(entry_frame{0, frame});
  driver_.Dispatch(0);
  EXPECT_EQ(CountStarts(), 1U);
  EXPECT_TRUE(driver_.Reports().empty());
}

// Guards against a restarted agent that starts a task before it has heard from
// the dispatching entry what is evacuated.
TEST(RunSupervisorEvacuationRestart, StartsNothingBeforeFirstReply) {
  supervisor_driver driver;
  driver.Handle(supervisor_driver::WorkerReport());
  driver.AnswerPoll({});
  // A new connection, as after a restart.
  auto frame = driver.MakeFrame(0);
  wire::beat_reply reconnect;
  reconnect.reconnect = true;
  frame.messages.emplace_back(reconnect);
  driver.Handle(entry_frame{0, frame});
  driver.Dispatch(0);
  EXPECT_TRUE(driver.Commands<start_run>().empty());
}

}  // namespace
}  // namespace egretrack::scheduler
