#include "scheduler/run_begin_proof.h"

#include <gtest/gtest.h>

namespace egretrack::scheduler {
namespace {

constexpr monotonic_time kPolled{seconds(101)};

// A run whose only start call got no answer.
run_evidence UnansweredRun() {
  run_evidence run;
  run.start_sent = true;
  run.unrefused_starts = 1;
  run.start_fence = 10;
  run.start_resolved_at = kPolled - milliseconds(20);
  return run;
}

// The same, absent from all that the worker lists under a higher token.
run_evidence UnlistedRun() {
  run_evidence run = UnansweredRun();
  run.listed = listed_run{.polled_at = kPolled, .fence = 11, .complete = true};
  return run;
}

// Guards against a refusal that is withheld although nothing has run.
TEST(RunBeginProof, RunWithoutAStartHasNotBegun) {
  EXPECT_EQ(FindRunBeginProof(run_evidence()), run_begin_proof::kNotSent);
}

// Guards against taking the refusal of one start call for that of all.
TEST(RunBeginProof, EveryStartCallHasToBeRefused) {
  run_evidence run = UnansweredRun();
  EXPECT_EQ(FindRunBeginProof(run), run_begin_proof::kMayHaveBegun);
  run.unrefused_starts = 0;
  EXPECT_EQ(FindRunBeginProof(run), run_begin_proof::kRefused);
}

// Guards against a list that may still change: the worker does not ignore the
// start call yet, or the call may be on its way to a later incarnation.
TEST(RunBeginProof, ListHasToFollowTheLastStartCall) {
  run_evidence run = UnlistedRun();
  EXPECT_EQ(FindRunBeginProof(run), run_begin_proof::kNotListed);
  run.listed->fence = run.start_fence;
  EXPECT_EQ(FindRunBeginProof(run), run_begin_proof::kMayHaveBegun);
  run.stop_accepted_at = kPolled - milliseconds(61);
  EXPECT_EQ(FindRunBeginProof(run), run_begin_proof::kNotListed);
  run = UnlistedRun();
  run.start_resolved_at = kPolled + microseconds(1);
  EXPECT_EQ(FindRunBeginProof(run), run_begin_proof::kMayHaveBegun);
}

// Guards against taking the list of a new incarnation for that of the one that
// may have begun the run (review, case 12).
TEST(RunBeginProof, LaterIncarnationKnowsNothingOfEarlierStarts) {
  run_evidence run = UnlistedRun();
  run.restarted_since_start = true;
  EXPECT_EQ(FindRunBeginProof(run), run_begin_proof::kMayHaveBegun);
  run = UnlistedRun();
  run.listed->other_incarnation = true;
  EXPECT_EQ(FindRunBeginProof(run), run_begin_proof::kMayHaveBegun);
  run = UnlistedRun();
  run.listed->other_worker = true;
  EXPECT_EQ(FindRunBeginProof(run), run_begin_proof::kMayHaveBegun);
}

// Guards against taking a run for one that never began while its end may stand
// on a later page of the list.
TEST(RunBeginProof, ListHasToHoldAllEnds) {
  run_evidence run = UnlistedRun();
  run.listed->complete = false;
  EXPECT_EQ(FindRunBeginProof(run), run_begin_proof::kMayHaveBegun);
}

// Guards against a refusal of a run that the worker lists or has confirmed.
TEST(RunBeginProof, KnownRunHasBegun) {
  run_evidence run = UnlistedRun();
  run.listed->running = true;
  EXPECT_EQ(FindRunBeginProof(run), run_begin_proof::kMayHaveBegun);
  run = UnlistedRun();
  run.listed->ended = true;
  EXPECT_EQ(FindRunBeginProof(run), run_begin_proof::kMayHaveBegun);
  run = UnlistedRun();
  run.confirmed_at = kPolled - milliseconds(5);
  EXPECT_EQ(FindRunBeginProof(run), run_begin_proof::kMayHaveBegun);
}

}  // namespace
}  // namespace egretrack::scheduler
