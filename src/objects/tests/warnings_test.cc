#include "egretrack/objects/warnings.h"

#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "egretrack/base/file.h"
#include "egretrack/objects/check.h"

namespace egretrack::objects {
namespace {

constexpr std::string_view kDocument = R"(
[desk.d]
[endpoint.e]
desk = "d"
kinds = ["a", "b"]
[request_kind.a]
desk = "d"
deadline_ms = 200
host = "Example.org:80"
path_prefix = "/jobs/"
[request_kind.b]
desk = "d"
host = "example.org"
path_prefix = "/jobs/long/"
[limit.l]
desk = "d"
team = "t"
max_running = 16
)";

std::string WithReplaced(std::string_view from, std::string_view to) {
  std::string text(kDocument);
  return text.replace(text.find(from), from.size(), to);
}

std::vector<std::string> WarningTexts(std::string_view document) {
  const auto outcome = CheckDocument(document);
  EXPECT_TRUE(outcome.faults.empty()) << outcome.faults.front().ToString();
  std::vector<std::string> texts;
  for (const auto& warning : FindWarnings(outcome.objects)) {
    texts.push_back(std::string(WarningName(warning.kind)) + ": " +
                    warning.ToString());
  }
  return texts;
}

using text_list = std::vector<std::string>;

// Guards against warnings for valid uses: a prefix that continues another one,
// and a deadline equal to the expected run time.
TEST(FindWarnings, ReportsNothingForConsistentSet) {
  EXPECT_EQ(WarningTexts(kDocument), text_list{});
}

// Guards against an example that teaches operators to ignore warnings.
TEST(FindWarnings, ReportsNothingForExamples) {
  for (const std::string name : {"banco-turni", "riparazioni"}) {
    const std::string file = EGRETRACK_SOURCE_DIR "/examples/" + name + ".toml";
    EXPECT_EQ(WarningTexts(ReadFile(file).value()), text_list{}) << name;
  }
}

// Guards against a request kind that never receives a request because the
// route table prefers another one, also if the hosts differ only in case and
// port.
TEST(FindWarnings, ReportsHiddenPrefix) {
  EXPECT_EQ(WarningTexts(WithReplaced("/jobs/long/", "/jobs/")),
            text_list{"hidden_prefix: request_kind.b: path_prefix: hidden by "
                      "request_kind 'a' with the same host and prefix"});
  EXPECT_EQ(
      WarningTexts(WithReplaced("\"example.org\"\npath_prefix = \"/jobs/long/",
                                "\"example.com\"\npath_prefix = \"/jobs/")),
      text_list{});
}

// Guards against a prefix or host that matches no request without notice.
TEST(FindWarnings, ReportsPrefixThatMatchesNoPath) {
  EXPECT_EQ(WarningTexts(WithReplaced("/jobs/long/", "jobs/")),
            text_list{"unmatchable_prefix: request_kind.b: path_prefix: "
                      "matches no path, because each path begins with '/'"});
  EXPECT_EQ(WarningTexts(WithReplaced("\npath_prefix = \"/jobs/long/\"", "")),
            text_list{"unmatchable_prefix: request_kind.b: host: has no "
                      "effect without path_prefix"});
}

// Guards against a kind whose requests are expected to miss their deadline.
TEST(FindWarnings, ReportsDeadlineBelowExpectedRunTime) {
  EXPECT_EQ(WarningTexts(WithReplaced("= 200", "= 199")),
            text_list{"deadline_below_expected: request_kind.a: deadline_ms: "
                      "below the expected_ms 200"});
  const text_list both{
      "deadline_below_expected: request_kind.a: deadline_ms: below the "
      "expected_ms 30001",
      "deadline_below_expected: request_kind.a: max_deadline_ms: below the "
      "expected_ms 30001"};
  EXPECT_EQ(WarningTexts(WithReplaced("= 200", "= 200\nexpected_ms = 30001")),
            both);
}

}  // namespace
}  // namespace egretrack::objects
