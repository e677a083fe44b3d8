#include "egretrack/telemetry/event_log.h"

#include <unistd.h>

#include <filesystem>
#include <vector>

#include <gtest/gtest.h>

#include "egretrack/base/file.h"

namespace egretrack::telemetry {
namespace {

// Guards against values that a reader of the log would parse as further keys.
TEST(EventLog, QuotesValuesWithSpecialCharacters) {
  const std::vector<event_field> fields{
      {"age_us", 12}, {"reason", "no \"room\" left"}, {"entry", ""}};
  EXPECT_EQ(FormatEvent("job_refused", "5c0e", fields),
            "event=job_refused job=5c0e age_us=12 "
            "reason=\"no \\\"room\\\" left\" entry=\"\"");
}

// Guards against a burst of one event that floods the log, against suppressing
// lines without reporting their number, and against applying the lower limit to
// failures.
TEST(EventLog, LimitsEachEventAndReportsSuppressedLines) {
  const std::string file = testing::TempDir() + "egretrack_event_log_test." +
                           std::to_string(getpid());
  ASSERT_TRUE(StartLogging("info", file).has_value());
  event_log log("part", {.lines_per_second = 2, .failure_lines_per_second = 4});
  const monotonic_time start{seconds(10)};
  for (int n = 0; n < 5; ++n) {
    log.Write("job_answered", false, "a", {}, start);
    log.Write("job_failed", true, "b", {}, start);
  }
  log.ReportSuppressed(start + seconds(1));
  StopLogging();
  const std::string text = ReadFile(file).value();
  std::filesystem::remove(file);
  const auto count = [&text](std::string_view part) {
    std::size_t found = 0;
    for (auto at = text.find(part); at != std::string::npos;
         at = text.find(part, at + 1)) {
      ++found;
    }
    return found;
  };
  EXPECT_EQ(count("event=job_answered"), 2U);
  EXPECT_EQ(count("event=job_failed"), 4U);
  EXPECT_EQ(count("event=lines_left_out of=job_answered count=3"), 1U);
  EXPECT_EQ(count("event=lines_left_out of=job_failed count=1"), 1U);
  EXPECT_EQ(log.suppressed(), 4U);
}

}  // namespace
}  // namespace egretrack::telemetry
