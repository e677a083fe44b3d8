#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <string>
#include <utility>

#include "egretrack/telemetry/burn.h"

namespace egretrack::telemetry {
namespace {

// Lengths are in SVG user units.
constexpr double kMinHeight = 400;
constexpr double kPlotLeft = 70;
constexpr double kPlotTop = 50;
constexpr double kBottomMargin = 60;
constexpr double kPlotWidth = 570;
constexpr double kLegendLeft = kPlotLeft + kPlotWidth + 20;
constexpr double kLegendRowHeight = 20;
constexpr double kLegendTextLeft = kLegendLeft + 32;
constexpr double kCharacterWidth = 8;  // Upper bound for font size 13.
constexpr double kTickLabelGap = 8;
constexpr std::string_view kAllowanceLabel = "allowance (burn 1)";

constexpr int kTimeAxisIntervals = 5;
// Minimum length of the time axis. The chart of a shorter history would be a
// steep line at the right edge.
constexpr std::size_t kMinAxisMinutes = 5;
// Keeps the allowance line at a burn of 1 away from the top of the plot.
constexpr double kMinAxisMaximum = 2;

// A palette that readers with colour vision deficiency can distinguish.
constexpr std::array kColours{"#0072b2", "#d55e00", "#009e73", "#cc79a7",
                              "#56b4e9", "#e69f00", "#000000"};

std::string FormatNumber(double value) {
  std::array<char, 64> text{};
  std::snprintf(text.data(), text.size(), "%.6g", value);
  return text.data();
}

std::string EscapeXml(std::string_view text) {
  std::string escaped;
  for (const char c : text) {
    switch (c) {
      case '&':
        escaped += "&amp;";
        break;
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      default:
        escaped += static_cast<unsigned char>(c) < ' ' ? ' ' : c;
    }
  }
  return escaped;
}

// Replaces negative and non-finite values by 0.
double ClampToDrawable(double burn) {
  return std::isfinite(burn) && burn > 0 ? burn : 0;
}

// Returns the smallest of 1, 2, 5, 10, 20, ... that is at least `value`.
double RoundUpToTick(double value) {
  const double power = std::pow(10, std::floor(std::log10(value)));
  for (const double factor : {1.0, 2.0, 5.0}) {
    if (value <= factor * power)
      return factor * power;
  }
  return 10 * power;
}

// A minute in which all requests are missed has a burn of 1,000 at an objective
// of 0.999. On a linear axis, it would hide whether other minutes stay below 1.
double ToLogScale(double burn) {
  return std::log1p(burn);
}

// Length of the time axis in minutes: the longest history, rounded up so that
// it divides into kTimeAxisIntervals whole intervals.
int AxisMinutes(const burn_report& report) {
  std::size_t longest = kMinAxisMinutes;
  for (const desk_burn& desk : report.desks)
    longest = std::max(longest, desk.history.size());
  const int minutes = static_cast<int>(longest);
  return (minutes + kTimeAxisIntervals - 1) / kTimeAxisIntervals *
         kTimeAxisIntervals;
}

double AxisMaximum(const burn_report& report) {
  double highest = kMinAxisMaximum;
  for (const desk_burn& desk : report.desks) {
    for (const double burn : desk.history)
      highest = std::max(highest, ClampToDrawable(burn));
  }
  return RoundUpToTick(highest);
}

// Leaves room in the legend for the longest name.
double ChartWidth(const burn_report& report) {
  std::size_t longest = kAllowanceLabel.size();
  for (const desk_burn& desk : report.desks)
    longest = std::max(longest, desk.desk.size());
  return kLegendTextLeft + (kCharacterWidth * static_cast<double>(longest + 1));
}

class chart {
 public:
  explicit chart(const burn_report& report)
      : report_(report),
        axis_maximum_(AxisMaximum(report)),
        minutes_(AxisMinutes(report)),
        width_(ChartWidth(report)),
        height_(std::max(kMinHeight,
                         kPlotTop + kBottomMargin +
                             (kLegendRowHeight *
                              (static_cast<double>(report.desks.size()) + 1)))),
        bottom_(height_ - kBottomMargin) {}

  std::string Draw() {
    WriteHeader();
    DrawValueAxis();
    DrawTimeAxis();
    DrawAllowance();
    for (std::size_t i = 0; i < report_.desks.size(); ++i)
      DrawDesk(report_.desks[i], i);
    svg_ += "</svg>\n";
    return std::move(svg_);
  }

 private:
  double X(double minutes_ago) const {
    return kPlotLeft + (kPlotWidth * (1 - (minutes_ago / minutes_)));
  }
  double Y(double burn) const {
    const double share =
        ToLogScale(ClampToDrawable(burn)) / ToLogScale(axis_maximum_);
    return bottom_ - ((bottom_ - kPlotTop) * share);
  }

  void DrawLine(double x1,
                double y1,
                double x2,
                double y2,
                std::string_view style) {
    svg_ += "<line x1=\"" + FormatNumber(x1) + "\" y1=\"" + FormatNumber(y1) +
            "\" x2=\"" + FormatNumber(x2) + "\" y2=\"" + FormatNumber(y2) +
            "\" ";
    svg_.append(style).append("/>\n");
  }

  void DrawText(double x,
                double y,
                std::string_view style,
                std::string_view text) {
    svg_ +=
        "<text x=\"" + FormatNumber(x) + "\" y=\"" + FormatNumber(y) + "\" ";
    svg_.append(style).append(">").append(EscapeXml(text)).append("</text>\n");
  }

  void WriteHeader() {
    const std::string size = "width=\"" + FormatNumber(width_) +
                             "\" height=\"" + FormatNumber(height_) + "\"";
    svg_ = "<svg xmlns=\"http://www.w3.org/2000/svg\" " + size +
           " viewBox=\"0 0 " + FormatNumber(width_) + " " +
           FormatNumber(height_) +
           "\" font-family=\"sans-serif\" font-size=\"13\">\n<rect " + size +
           " fill=\"white\"/>\n";
    DrawText(kPlotLeft, kPlotTop / 2, "font-size=\"16\"",
             "Error-budget burn per desk and minute");
  }

  void DrawValueAxis() {
    DrawValue(0, "stroke=\"black\"");
    // Ticks at 1, 2, 5, 10, 20, ... up to the axis maximum.
    for (double value = 1; value <= axis_maximum_;
         value = RoundUpToTick(value * 1.5))
      DrawValue(value, "stroke=\"#dddddd\"");
    DrawLine(kPlotLeft, kPlotTop, kPlotLeft, bottom_, "stroke=\"black\"");
    const std::string middle = FormatNumber((kPlotTop + bottom_) / 2);
    DrawText(
        20, (kPlotTop + bottom_) / 2,
        "text-anchor=\"middle\" transform=\"rotate(-90 20 " + middle + ")\"",
        "burn (logarithmic)");
  }

  void DrawValue(double value, std::string_view style) {
    DrawLine(kPlotLeft, Y(value), kPlotLeft + kPlotWidth, Y(value), style);
    DrawText(kPlotLeft - kTickLabelGap, Y(value) + 4, "text-anchor=\"end\"",
             FormatNumber(value));
  }

  void DrawTimeAxis() {
    const int step = minutes_ / kTimeAxisIntervals;
    for (int minutes = 0; minutes <= minutes_; minutes += step) {
      DrawLine(X(minutes), bottom_, X(minutes), bottom_ + 5,
               "stroke=\"black\"");
      DrawText(X(minutes), bottom_ + 20, "text-anchor=\"middle\"",
               FormatNumber(minutes));
    }
    DrawText(kPlotLeft + (kPlotWidth / 2), bottom_ + 42,
             "text-anchor=\"middle\"", "minutes ago");
  }

  void DrawAllowance() {
    DrawLine(kPlotLeft, Y(1), kPlotLeft + kPlotWidth, Y(1),
             "stroke=\"#666666\" stroke-dasharray=\"6 4\"");
    DrawLine(kLegendLeft, kPlotTop, kLegendLeft + 24, kPlotTop,
             "stroke=\"#666666\" stroke-dasharray=\"6 4\"");
    DrawText(kLegendTextLeft, kPlotTop + 4, "", kAllowanceLabel);
  }

  void DrawDesk(const desk_burn& desk, std::size_t index) {
    const std::string stroke = "stroke=\"" +
                               std::string(kColours[index % kColours.size()]) +
                               "\" stroke-width=\"2\"";
    svg_ += "<polyline fill=\"none\" " + stroke + " points=\"";
    double minutes_ago = static_cast<double>(desk.history.size());
    for (const double burn : desk.history) {
      minutes_ago -= 1;
      svg_ += FormatNumber(X(minutes_ago)) + "," + FormatNumber(Y(burn)) + " ";
    }
    svg_ += "\"/>\n";
    if (!desk.history.empty())
      DrawLatestMarker(desk.history.back(), stroke);
    const double y =
        kPlotTop + (kLegendRowHeight * static_cast<double>(index + 1));
    DrawLine(kLegendLeft, y, kLegendLeft + 24, y, stroke);
    DrawText(kLegendTextLeft, y + 4, "", desk.desk);
  }

  // Marks the latest value, because a polyline with one point is invisible.
  void DrawLatestMarker(double burn, std::string_view stroke) {
    svg_ += "<circle cx=\"" + FormatNumber(X(0)) + "\" cy=\"" +
            FormatNumber(Y(burn)) + "\" r=\"3\" fill=\"white\" ";
    svg_.append(stroke).append("/>\n");
  }

  const burn_report& report_;
  const double axis_maximum_;
  const int minutes_;
  const double width_;
  const double height_;
  const double bottom_;
  std::string svg_;
};

}  // namespace

std::string ToSvg(const burn_report& report) {
  return chart(report).Draw();
}

}  // namespace egretrack::telemetry
