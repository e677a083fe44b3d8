#include "scheduler/worker_revision.h"

#include <gtest/gtest.h>

namespace egretrack::scheduler {
namespace {

constexpr incarnation kProcess{700};

worker_report Report() {
  worker_report report;
  report.id = "w";
  report.worker_incarnation = 1000;
  report.desk = "gas";
  report.labels = {"a", "r1"};
  report.capacity = {16000, 32768, 0};
  report.sequence = 1;
  return report;
}

// Guards against dispatches that are turned away although their worker is the
// same, for example after each of its reports.
TEST(WorkerRevision, StaysWhileTheWorkerIsTheSame) {
  worker_revision revision(kProcess);
  EXPECT_TRUE(revision.Describe(Report()));
  const auto chosen = revision.number();
  worker_report later = Report();
  later.sequence = 2;
  later.draining = true;
  EXPECT_FALSE(revision.Describe(later));
  EXPECT_TRUE(revision.Allows(chosen));
}

// Guards against a start on a worker that differs in anything that an entry
// chooses by (review, case 14).
TEST(WorkerRevision, ChangesWithWhatAnEntryChoosesBy) {
  worker_report other_id = Report();
  other_id.id = "w2";
  worker_report restarted = Report();
  restarted.worker_incarnation = 2000;
  worker_report other_desk = Report();
  other_desk.desk = "power";
  worker_report other_labels = Report();
  other_labels.labels = {"b", "r1"};
  worker_report smaller = Report();
  smaller.capacity.cpu_milli = 8000;
  for (const worker_report& other :
       {other_id, restarted, other_desk, other_labels, smaller}) {
    worker_revision revision(kProcess);
    revision.Describe(Report());
    const auto chosen = revision.number();
    EXPECT_TRUE(revision.Describe(other));
    EXPECT_FALSE(revision.Allows(chosen));
  }
}

// Guards against a rolling change in which agents turn away all dispatches of
// entries of the earlier release.
TEST(WorkerRevision, AllowsDispatchesThatNameNoWorker) {
  worker_revision revision(kProcess);
  revision.Describe(Report());
  EXPECT_TRUE(revision.Allows(std::nullopt));
}

// Guards against a dispatch for the worker of an earlier process of the agent.
TEST(WorkerRevision, DiffersBetweenProcesses) {
  worker_revision earlier(kProcess);
  earlier.Describe(Report());
  worker_revision later(incarnation{800});
  later.Describe(Report());
  EXPECT_FALSE(later.Allows(earlier.number()));
}

}  // namespace
}  // namespace egretrack::scheduler
