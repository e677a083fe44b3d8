#include "standins/ledger.h"

#include <gtest/gtest.h>

namespace egretrack::standins {
namespace {

ledger_line Start(const std::string& job, task_index task) {
  ledger_line line;
  line.time = wall_time(microseconds(7));
  line.job = job;
  line.task = task;
  line.detail = "quote";
  return line;
}

// Guards against a parser that does not match the format of the writer.
TEST(LedgerTest, ParsesFormattedLine) {
  const auto lines = ParseLedger(FormatLedgerLine(Start("job", 3)));
  ASSERT_TRUE(lines.has_value());
  ASSERT_EQ(lines->size(), 1U);
  EXPECT_EQ(lines->front().job, "job");
  EXPECT_EQ(lines->front().task, 3U);
  EXPECT_EQ(lines->front().time, wall_time(microseconds(7)));
  EXPECT_EQ(lines->front().detail, "quote");
}

// Guards against a parse error or a wrong line when the ledger is read while
// its last line is being written.
TEST(LedgerTest, IgnoresIncompleteLastLine) {
  const auto lines = ParseLedger("start 7 job 3 quote\nstart 8 jo");
  ASSERT_TRUE(lines.has_value());
  EXPECT_EQ(lines->size(), 1U);
}

// Guards against a corrupt ledger that is taken for one without starts.
TEST(LedgerTest, RejectsMalformedLine) {
  EXPECT_FALSE(ParseLedger("anything else\n").has_value());
}

// Guards against a check that misses a second start of a task.
TEST(LedgerTest, ReportsSecondStart) {
  const std::vector<ledger_line> lines = {Start("a", 0), Start("a", 1),
                                          Start("a", 0)};
  EXPECT_EQ(CheckLedger(lines, {}, {}).size(), 1U);
}

// Guards against a check that misses a task start in a job answered "not run".
TEST(LedgerTest, ReportsStartInNotRunJob) {
  const std::vector<ledger_line> lines = {Start("a", 0)};
  const std::vector<std::string> not_run_jobs = {"a"};
  EXPECT_EQ(CheckLedger(lines, not_run_jobs, {}).size(), 1U);
}

// Guards against a retryable job that hides repeated starts of another job.
TEST(LedgerTest, AllowsSecondStartOnlyInRetryableJobs) {
  const std::vector<ledger_line> lines = {Start("a", 0), Start("a", 0),
                                          Start("b", 0), Start("b", 0)};
  const std::vector<std::string> retryable_jobs = {"a"};
  EXPECT_EQ(CheckLedger(lines, {}, retryable_jobs).size(), 1U);
}

}  // namespace
}  // namespace egretrack::standins
