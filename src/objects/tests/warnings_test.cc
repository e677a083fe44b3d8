#include "egretrack/objects/warnings.h"

#include <optional>
#include <span>
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

std::vector<std::string> WarningTexts(
    std::string_view document,
    std::optional<std::span<const worker>> workers = std::nullopt) {
  const auto outcome = CheckDocument(document);
  EXPECT_TRUE(outcome.faults.empty()) << outcome.faults.front().ToString();
  std::vector<std::string> texts;
  for (const auto& warning : FindWarnings(outcome.objects, workers)) {
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

constexpr std::string_view kWorkers = R"(
[worker.w1]
endpoint = "e"
slots = 8
connections = 64
[worker.w2]
endpoint = "e"
)";

text_list WarningTextsWithWorkers(std::string_view document,
                                  std::string_view workers) {
  const auto outcome = ReadWorkers(workers);
  EXPECT_TRUE(outcome.faults.empty()) << outcome.faults.front().ToString();
  return WarningTexts(document, outcome.workers);
}

// Guards against warnings for workers that just suffice.
TEST(FindWarnings, ReportsNothingForSufficientWorkers) {
  EXPECT_EQ(WarningTextsWithWorkers(kDocument, kWorkers), text_list{});
}

// Guards against an endpoint class that no instance announces, and against
// warnings about its capacity that only follow from that.
TEST(FindWarnings, ReportsEndpointWithoutWorkerAndUnknownEndpoint) {
  const text_list expected{
      "endpoint_without_worker: endpoint.e: no worker serves this endpoint",
      "unknown_endpoint: worker.w: endpoint: endpoint 'x' does not exist"};
  EXPECT_EQ(WarningTextsWithWorkers(kDocument, "[worker.w]\nendpoint = \"x\""),
            expected);
}

// Guards against an endpoint that needs more than its largest worker has.
TEST(FindWarnings, ReportsEndpointAboveItsWorkers) {
  const auto document =
      WithReplaced("kinds = [\"a\", \"b\"]",
                   "kinds = [\"a\", \"b\"]\nslots = 9\nconnections = 65\n");
  const text_list expected{
      "endpoint_above_workers: endpoint.e: slots: above the 8 of the largest "
      "worker",
      "endpoint_above_workers: endpoint.e: connections: above the 64 of the "
      "largest worker"};
  EXPECT_EQ(WarningTextsWithWorkers(document, kWorkers), expected);
}

// Guards against a limit that never takes effect because the workers of its
// desk have fewer slots.
TEST(FindWarnings, ReportsLimitAboveAllSlots) {
  EXPECT_EQ(WarningTextsWithWorkers(WithReplaced("= 16", "= 17"), kWorkers),
            text_list{"limit_above_slots: limit.l: max_running: above the 16 "
                      "slots of all workers of desk 'd'"});
}

// Guards against a wrong file of workers that passes as one without warnings.
TEST(ReadWorkers, ReportsEveryFault) {
  text_list texts;
  for (const auto& fault :
       ReadWorkers("[desk.d]\n[worker.w]\nslots = 0\nsize = 1\n").faults)
    texts.push_back(fault.ToString());
  const text_list expected{
      "desk: not the table 'worker'",
      "worker.w: size: no such key",
      "worker.w: slots: 0 is not in the range 1 to 4096",
      "worker.w: endpoint: required key is missing",
  };
  EXPECT_EQ(texts, expected);
  EXPECT_EQ(ReadWorkers("").faults.size(), 1U);
  EXPECT_EQ(ReadWorkers("[").faults.size(), 1U);
  EXPECT_EQ(ReadWorkers("worker = 1").faults.size(), 1U);
}

}  // namespace
}  // namespace egretrack::objects
