#include "scheduler/run_end_proof.h"

#include <gtest/gtest.h>

namespace egretrack::scheduler {
namespace {

constexpr monotonic_time kStart{seconds(100)};
constexpr monotonic_time kNow{seconds(101)};

// A run that was started, without anything known of its end.
run_evidence StartedRun() {
  run_evidence run;
  run.start_sent = true;
  run.unrefused_starts = 1;
  run.start_fence = 10;
  run.lease_end = kNow + milliseconds(500);
  return run;
}

run_evidence StartedRun(const listed_run& listed) {
  run_evidence run = StartedRun();
  run.listed = listed;
  return run;
}

// Guards against giving up a run of which nothing shows that it has ended.
TEST(RunEndProof, StartedRunMayGoOn) {
  EXPECT_EQ(FindRunEndProof(StartedRun(), kNow), run_end_proof::kNone);
  EXPECT_EQ(FindRunEndProof(run_evidence(), kNow), run_end_proof::kNotSent);
}

// Guards against returning a task whose earlier start call may take effect.
TEST(RunEndProof, RefusalSaysNothingAboutAnEarlierCall) {
  run_evidence run = StartedRun();
  run.unrefused_starts = 0;
  EXPECT_EQ(FindRunEndProof(run, kNow), run_end_proof::kRefused);
  run.unrefused_starts = 1;
  EXPECT_EQ(FindRunEndProof(run, kNow), run_end_proof::kNone);
}

// Guards against taking the absence from a list for an end that the list was
// too early to show.
TEST(RunEndProof, AbsenceCountsOnlyAfterConfirmationOrStop) {
  run_evidence run =
      StartedRun({.polled_at = kNow, .fence = 10, .complete = true});
  EXPECT_EQ(FindRunEndProof(run, kNow), run_end_proof::kNone);
  run.confirmed_at = kNow;
  EXPECT_EQ(FindRunEndProof(run, kNow), run_end_proof::kNone);
  run.confirmed_at = kNow - milliseconds(1);
  EXPECT_EQ(FindRunEndProof(run, kNow), run_end_proof::kNotListed);

  run = StartedRun({.polled_at = kNow, .fence = 10, .complete = true});
  run.stopping = true;
  run.stop_accepted_at = kNow - milliseconds(50);
  EXPECT_EQ(FindRunEndProof(run, kNow), run_end_proof::kNone);
  run.stop_accepted_at = kNow - milliseconds(61);
  EXPECT_EQ(FindRunEndProof(run, kNow), run_end_proof::kStopped);
}

// Guards against ending a run as lost while a later page of the list may hold
// its result.
TEST(RunEndProof, AbsenceCountsOnlyInACompleteList) {
  run_evidence run = StartedRun({.polled_at = kNow, .fence = 11});
  run.confirmed_at = kStart;
  run.stopping = true;
  run.stop_accepted_at = kStart;
  EXPECT_EQ(FindRunEndProof(run, kNow), run_end_proof::kNone);
  run.listed->complete = true;
  EXPECT_EQ(FindRunEndProof(run, kNow), run_end_proof::kNotListed);
}

// Guards against ending a run that the worker lists, and against a late start
// call that the worker does not ignore.
TEST(RunEndProof, HigherTokenFencesOffUnlistedRun) {
  run_evidence run =
      StartedRun({.polled_at = kNow, .fence = 11, .complete = true});
  EXPECT_EQ(FindRunEndProof(run, kNow), run_end_proof::kNone);
  run.stopping = true;
  EXPECT_EQ(FindRunEndProof(run, kNow), run_end_proof::kFencedOff);
  run.listed->running = true;
  EXPECT_EQ(FindRunEndProof(run, kNow), run_end_proof::kNone);
  run.listed->running = false;
  run.listed->fence = 10;
  EXPECT_EQ(FindRunEndProof(run, kNow), run_end_proof::kNone);
}

// Guards against ending a run with the incarnation of its worker that did not
// have it.
TEST(RunEndProof, LaterIncarnationEndsRunsOfTheEarlierOneOnly) {
  run_evidence run = StartedRun({.polled_at = kNow, .other_incarnation = true});
  run.confirmed_at = kStart;
  EXPECT_EQ(FindRunEndProof(run, kNow), run_end_proof::kNone);
  run.at_current_incarnation = true;
  EXPECT_EQ(FindRunEndProof(run, kNow), run_end_proof::kWorkerEnded);
  run = StartedRun({.polled_at = kNow, .other_worker = true});
  EXPECT_EQ(FindRunEndProof(run, kNow), run_end_proof::kWorkerEnded);
}

// Guards against ending a run before its lease has lapsed.
TEST(RunEndProof, LeaseEndsEveryRun) {
  run_evidence run = StartedRun();
  EXPECT_EQ(FindRunEndProof(run, run.lease_end), run_end_proof::kNone);
  EXPECT_EQ(FindRunEndProof(run, run.lease_end + microseconds(1)),
            run_end_proof::kLeaseLapsed);
}

// Guards against dispatching a task again while its agent may run it.
TEST(RunEndProof, EntryNeedsReportOrSettledAgentOrTime) {
  dispatch_evidence dispatch;
  EXPECT_EQ(FindRunEndProof(dispatch, kNow), run_end_proof::kNone);
  dispatch.settled = true;  // Says nothing about the current session.
  EXPECT_EQ(FindRunEndProof(dispatch, kNow), run_end_proof::kNone);
  dispatch.earlier_session = true;
  EXPECT_EQ(FindRunEndProof(dispatch, kNow), run_end_proof::kSettled);
  dispatch.settled = false;
  dispatch.agent_stops_by = kNow;
  EXPECT_EQ(FindRunEndProof(dispatch, kNow - microseconds(1)),
            run_end_proof::kNone);
  EXPECT_EQ(FindRunEndProof(dispatch, kNow), run_end_proof::kAgentSilent);
  dispatch.reported = true;
  EXPECT_EQ(FindRunEndProof(dispatch, kNow), run_end_proof::kReported);
}

}  // namespace
}  // namespace egretrack::scheduler
