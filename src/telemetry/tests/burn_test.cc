#include "egretrack/telemetry/burn.h"

#include <gtest/gtest.h>

namespace egretrack::telemetry {
namespace {

monotonic_time At(seconds since_start) {
  return monotonic_time(since_start);
}

void RecordMany(burn_meter& meter, int on_time, int missed, seconds at) {
  for (int i = 0; i < on_time + missed; ++i)
    meter.Record("d", i < on_time, At(at));
}

// Guards against counting outcomes outside a window, and against computing the
// burn from the wrong share.
TEST(BurnMeter, CountsOutcomesPerWindow) {
  const auto meter = burn_meter::Create();
  meter->SetObjective("d", 0.9);
  RecordMany(*meter, 0, 10, seconds(0));
  RecordMany(*meter, 90, 10, seconds(1000));
  const auto now = meter->Report(At(seconds(1010)));
  ASSERT_EQ(now.desks.size(), 1U);
  const auto& windows = now.desks[0].windows;
  ASSERT_EQ(windows.size(), 4U);
  EXPECT_EQ(windows[0].length, seconds(60));
  EXPECT_EQ(windows[1].requests, 100U);
  EXPECT_NEAR(windows[1].burn, 1.0, 1e-9);
  EXPECT_EQ(windows[2].missed, 20U);
  EXPECT_NEAR(windows[3].burn, 20.0 / 110 / 0.1, 1e-9);

  const auto later = meter->Report(At(seconds(1070))).desks[0].windows;
  EXPECT_EQ(later[0].requests, 0U);
  EXPECT_EQ(later[0].burn, 0);
}

// Guards against counting an outcome of an earlier hour again when its bucket
// is reused.
TEST(BurnMeter, DiscardsOutcomesAfterAnHour) {
  const auto meter = burn_meter::Create();
  RecordMany(*meter, 0, 5, seconds(7));
  RecordMany(*meter, 1, 0, seconds(3607));
  EXPECT_EQ(meter->Report(At(seconds(3607))).desks[0].windows[3].requests, 1U);
  EXPECT_EQ(meter->Report(At(seconds(9000))).desks[0].windows[3].requests, 0U);
}

// Guards against a history in the wrong order or longer than an hour.
TEST(BurnMeter, KeepsOneHistoryValuePerMinute) {
  const auto meter = burn_meter::Create();
  meter->SetObjective("d", 0.5);
  RecordMany(*meter, 0, 1, seconds(0));
  RecordMany(*meter, 1, 1, seconds(119));
  EXPECT_EQ(meter->Report(At(seconds(119))).desks[0].history,
            (std::vector<double>{2, 1}));
  EXPECT_EQ(meter->Report(At(seconds(90000))).desks[0].history.size(), 60U);
}

burn_report Sample() {
  burn_report report;
  report.desks.push_back(
      {"a&b", 0.999, {{seconds(60), 10, 1, 100}}, {0, 0.5, 100}});
  report.desks.push_back({"plain", 0.9, {}, {}});
  return report;
}

// Guards against a client that shows figures other than those of the entry, and
// against accepting a malformed report.
TEST(BurnJson, RoundTrip) {
  const auto parsed = ParseBurnReport(ToJson(Sample()));
  ASSERT_TRUE(parsed.has_value()) << parsed.error().ToString();
  EXPECT_EQ(ToText(*parsed), ToText(Sample()));
  EXPECT_EQ(ToSvg(*parsed), ToSvg(Sample()));
  for (const auto* text : {"", "{}", "{\"desks\":[1]}", "{\"desks\":1}"})
    EXPECT_EQ(ParseBurnReport(text).error().code, errc::kParseFailed);
}

// Guards against columns that are not aligned with their headings.
TEST(BurnText, AlignsColumns) {
  EXPECT_EQ(ToText(Sample()),
            "desk   objective   window    requests    missed      burn\n"
            "a&b        0.999    1 min          10         1    100.00\n");
}

// Guards against malformed SVG, which browsers reject, and against a chart
// without the allowance line.
TEST(BurnSvg, EscapesNamesAndDrawsEachDesk) {
  const std::string svg = ToSvg(Sample());
  EXPECT_NE(svg.find(">a&amp;b</text>"), std::string::npos);
  EXPECT_EQ(svg.find("a&b"), std::string::npos);
  EXPECT_NE(svg.find("allowance (burn 1)"), std::string::npos);
  EXPECT_NE(svg.find(">minutes ago</text>"), std::string::npos);
  EXPECT_NE(svg.find(",50 \"/>"), std::string::npos);  // 100 is at the top.
  EXPECT_EQ(ToSvg({}).find("nan"), std::string::npos);
}

// Returns the vertical coordinates of the points of the first line.
std::vector<double> VerticalPositions(const std::string& svg) {
  std::vector<double> positions;
  std::size_t at = svg.find("points=\"");
  const std::size_t end = svg.find('/', at);
  while ((at = svg.find(',', at)) < end)
    positions.push_back(std::stod(svg.substr(++at)));
  return positions;
}

// Guards against a peak that compresses the axis so far that other minutes can
// no longer be compared with the allowance.
TEST(BurnSvg, KeepsAllowanceReadableBelowPeak) {
  burn_report report;
  report.desks.push_back({"d", 0.999, {}, {0, 1, 2, 1000}});
  const auto positions = VerticalPositions(ToSvg(report));
  ASSERT_EQ(positions.size(), 4U);
  EXPECT_GT(positions[0] - positions[1], 15);  // Text is 13 units high.
  EXPECT_GT(positions[1] - positions[2], 15);
  EXPECT_EQ(positions[3], 50);
}

// Guards against drawing a short history as a steep line at the edge, and
// against cutting off a full one.
TEST(BurnSvg, FitsTimeAxisToHistory) {
  burn_report report;
  report.desks.push_back({"d", 0.999, {}, std::vector<double>(3, 1)});
  // The label at the left end of the axis.
  const std::string left = "<text x=\"70\" y=\"360\" text-anchor=\"middle\">";
  EXPECT_NE(ToSvg(report).find(left + "5</text>"), std::string::npos);
  report.desks[0].history.resize(60, 1);
  EXPECT_NE(ToSvg(report).find(left + "60</text>"), std::string::npos);
}

}  // namespace
}  // namespace egretrack::telemetry
