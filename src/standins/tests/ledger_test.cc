#include "standins/ledger.h"

#include <gtest/gtest.h>

namespace egretrack::standins {
namespace {

ledger_line Start(const std::string& job, task_index task) {
  ledger_line line;
  line.time = wall_time(microseconds(7));
  line.job = job;
  line.task = task;
  line.word = "quote";
  return line;
}

// Guards against a format that the check reads differently than it was
// written.
TEST(LedgerTest, ReadsBackWhatItWrites) {
  const auto lines = ParseLedger(FormatLedgerLine(Start("job", 3)));
  ASSERT_TRUE(lines.has_value());
  ASSERT_EQ(lines->size(), 1U);
  EXPECT_EQ(lines->front().job, "job");
  EXPECT_EQ(lines->front().task, 3U);
  EXPECT_EQ(lines->front().time, wall_time(microseconds(7)));
  EXPECT_EQ(lines->front().word, "quote");
}

// Guards against counting a line of which only a part is written yet.
TEST(LedgerTest, LeavesOutUnfinishedLine) {
  const auto lines = ParseLedger("start 7 job 3 quote\nstart 8 jo");
  ASSERT_TRUE(lines.has_value());
  EXPECT_EQ(lines->size(), 1U);
}

// Guards against a damaged ledger that passes as one without starts.
TEST(LedgerTest, RejectsForeignText) {
  EXPECT_FALSE(ParseLedger("anything else\n").has_value());
}

// Guards against a check that overlooks a second start of a task.
TEST(LedgerTest, ReportsSecondStart) {
  const std::vector<ledger_line> lines = {Start("a", 0), Start("a", 1),
                                          Start("a", 0)};
  EXPECT_EQ(CheckLedger(lines, {}, {}).size(), 1U);
}

// Guards against a check that overlooks a start behind a "not run" answer.
TEST(LedgerTest, ReportsStartOfJobAnsweredNotRun) {
  const std::vector<ledger_line> lines = {Start("a", 0)};
  const std::vector<std::string> not_run = {"a"};
  EXPECT_EQ(CheckLedger(lines, not_run, {}).size(), 1U);
}

// Guards against an allowance for one job that hides faults of another.
TEST(LedgerTest, AllowsSecondStartOnlyOfNamedJobs) {
  const std::vector<ledger_line> lines = {Start("a", 0), Start("a", 0),
                                          Start("b", 0), Start("b", 0)};
  const std::vector<std::string> retried = {"a"};
  EXPECT_EQ(CheckLedger(lines, {}, retried).size(), 1U);
}

}  // namespace
}  // namespace egretrack::standins
