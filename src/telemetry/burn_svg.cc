#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <string>
#include <utility>

#include "egretrack/telemetry/burn.h"

namespace egretrack::telemetry {
namespace {

// All lengths are in SVG user units.
constexpr double kMinHeight = 400;
constexpr double kLeft = 70;
constexpr double kTop = 50;
constexpr double kBottomMargin = 60;
constexpr double kPlotWidth = 570;
constexpr double kLegendLeft = kLeft + kPlotWidth + 20;
constexpr double kLegendRow = 20;
constexpr double kLegendText = kLegendLeft + 32;
constexpr double kCharacterWidth = 8;  // Upper bound at font size 13.
constexpr double kTickGap = 8;
constexpr std::string_view kAllowanceText = "allowance (burn 1)";

constexpr int kMinuteSteps = 5;
// A history shorter than this would be a steep line at the right edge.
constexpr std::size_t kMinMinutes = 5;
// The allowance line at 1 stays clear of the frame.
constexpr double kMinScale = 2;

// Distinct for readers with colour vision deficiency as well.
constexpr std::array kColours{"#0072b2", "#d55e00", "#009e73", "#cc79a7",
                              "#56b4e9", "#e69f00", "#000000"};

std::string Number(double value) {
  std::array<char, 64> text{};
  std::snprintf(text.data(), text.size(), "%.6g", value);
  return text.data();
}

std::string Escape(std::string_view text) {
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

// A burn that cannot be drawn counts as none.
double Drawable(double burn) {
  return std::isfinite(burn) && burn > 0 ? burn : 0;
}

// The least of 1, 2, 5, 10, 20, ... that is not below `value`.
double RoundUp(double value) {
  const double power = std::pow(10, std::floor(std::log10(value)));
  for (const double factor : {1.0, 2.0, 5.0}) {
    if (value <= factor * power)
      return factor * power;
  }
  return 10 * power;
}

// One minute in which all requests are missed burns 1,000 at an objective of
// 0.999. On an even axis, it would hide whether other minutes stay below 1.
double Stretch(double burn) {
  return std::log1p(burn);
}

// Minutes on the time axis: the longest history, up to a whole step.
int Minutes(const burn_report& report) {
  std::size_t longest = kMinMinutes;
  for (const desk_burn& desk : report.desks)
    longest = std::max(longest, desk.history.size());
  const int minutes = static_cast<int>(longest);
  return (minutes + kMinuteSteps - 1) / kMinuteSteps * kMinuteSteps;
}

double Scale(const burn_report& report) {
  double highest = kMinScale;
  for (const desk_burn& desk : report.desks) {
    for (const double burn : desk.history)
      highest = std::max(highest, Drawable(burn));
  }
  return RoundUp(highest);
}

// The legend holds the longest name.
double Width(const burn_report& report) {
  std::size_t longest = kAllowanceText.size();
  for (const desk_burn& desk : report.desks)
    longest = std::max(longest, desk.desk.size());
  return kLegendText + (kCharacterWidth * static_cast<double>(longest + 1));
}

class chart {
 public:
  explicit chart(const burn_report& report)
      : report_(report),
        scale_(Scale(report)),
        minutes_(Minutes(report)),
        width_(Width(report)),
        height_(std::max(
            kMinHeight,
            kTop + kBottomMargin +
                (kLegendRow * (static_cast<double>(report.desks.size()) + 1)))),
        bottom_(height_ - kBottomMargin) {}

  std::string Draw() {
    Open();
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
    return kLeft + (kPlotWidth * (1 - (minutes_ago / minutes_)));
  }
  double Y(double burn) const {
    const double share = Stretch(Drawable(burn)) / Stretch(scale_);
    return bottom_ - ((bottom_ - kTop) * share);
  }

  void Line(double x1,
            double y1,
            double x2,
            double y2,
            std::string_view style) {
    svg_ += "<line x1=\"" + Number(x1) + "\" y1=\"" + Number(y1) + "\" x2=\"" +
            Number(x2) + "\" y2=\"" + Number(y2) + "\" ";
    svg_.append(style).append("/>\n");
  }

  void Text(double x, double y, std::string_view style, std::string_view text) {
    svg_ += "<text x=\"" + Number(x) + "\" y=\"" + Number(y) + "\" ";
    svg_.append(style).append(">").append(Escape(text)).append("</text>\n");
  }

  void Open() {
    const std::string size =
        "width=\"" + Number(width_) + "\" height=\"" + Number(height_) + "\"";
    svg_ = "<svg xmlns=\"http://www.w3.org/2000/svg\" " + size +
           " viewBox=\"0 0 " + Number(width_) + " " + Number(height_) +
           "\" font-family=\"sans-serif\" font-size=\"13\">\n<rect " + size +
           " fill=\"white\"/>\n";
    Text(kLeft, kTop / 2, "font-size=\"16\"",
         "Error-budget burn per desk and minute");
  }

  void DrawValueAxis() {
    DrawValue(0, "stroke=\"black\"");
    // 1, 2, 5, 10, 20, ..., the scale.
    for (double value = 1; value <= scale_; value = RoundUp(value * 1.5))
      DrawValue(value, "stroke=\"#dddddd\"");
    Line(kLeft, kTop, kLeft, bottom_, "stroke=\"black\"");
    const std::string middle = Number((kTop + bottom_) / 2);
    Text(20, (kTop + bottom_) / 2,
         "text-anchor=\"middle\" transform=\"rotate(-90 20 " + middle + ")\"",
         "burn (logarithmic)");
  }

  void DrawValue(double value, std::string_view style) {
    Line(kLeft, Y(value), kLeft + kPlotWidth, Y(value), style);
    Text(kLeft - kTickGap, Y(value) + 4, "text-anchor=\"end\"", Number(value));
  }

  void DrawTimeAxis() {
    const int step = minutes_ / kMinuteSteps;
    for (int minutes = 0; minutes <= minutes_; minutes += step) {
      Line(X(minutes), bottom_, X(minutes), bottom_ + 5, "stroke=\"black\"");
      Text(X(minutes), bottom_ + 20, "text-anchor=\"middle\"", Number(minutes));
    }
    Text(kLeft + (kPlotWidth / 2), bottom_ + 42, "text-anchor=\"middle\"",
         "minutes ago");
  }

  void DrawAllowance() {
    Line(kLeft, Y(1), kLeft + kPlotWidth, Y(1),
         "stroke=\"#666666\" stroke-dasharray=\"6 4\"");
    Line(kLegendLeft, kTop, kLegendLeft + 24, kTop,
         "stroke=\"#666666\" stroke-dasharray=\"6 4\"");
    Text(kLegendText, kTop + 4, "", kAllowanceText);
  }

  void DrawDesk(const desk_burn& desk, std::size_t index) {
    const std::string stroke = "stroke=\"" +
                               std::string(kColours[index % kColours.size()]) +
                               "\" stroke-width=\"2\"";
    svg_ += "<polyline fill=\"none\" " + stroke + " points=\"";
    double minutes_ago = static_cast<double>(desk.history.size());
    for (const double burn : desk.history) {
      minutes_ago -= 1;
      svg_ += Number(X(minutes_ago)) + "," + Number(Y(burn)) + " ";
    }
    svg_ += "\"/>\n";
    if (!desk.history.empty())
      DrawLatest(desk.history.back(), stroke);
    const double y = kTop + (kLegendRow * static_cast<double>(index + 1));
    Line(kLegendLeft, y, kLegendLeft + 24, y, stroke);
    Text(kLegendText, y + 4, "", desk.desk);
  }

  // A line of one point would not be drawn.
  void DrawLatest(double burn, std::string_view stroke) {
    svg_ += "<circle cx=\"" + Number(X(0)) + "\" cy=\"" + Number(Y(burn)) +
            "\" r=\"3\" fill=\"white\" ";
    svg_.append(stroke).append("/>\n");
  }

  const burn_report& report_;
  const double scale_;
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
