#include <algorithm>
#include <array>
#include <cstdio>

#include "egretrack/telemetry/burn.h"

namespace egretrack::telemetry {
namespace {

constexpr seconds kMinute{60};
constexpr int kMinNameWidth = 4;  // Width of the heading "desk".
constexpr int kMaxNameWidth = 64;

int NameWidth(const burn_report& report) {
  int width = kMinNameWidth;
  for (const desk_burn& desk : report.desks)
    width = std::max(width, static_cast<int>(desk.desk.size()));
  return std::min(width, kMaxNameWidth);
}

std::string FormatRow(int width,
                      const desk_burn& desk,
                      const burn_window& window) {
  std::array<char, 256> line{};
  std::snprintf(line.data(), line.size(),
                "%-*.*s  %9.6g  %3lld min  %10llu  %8llu  %8.2f\n", width,
                kMaxNameWidth, desk.desk.c_str(), desk.objective,
                static_cast<long long>(window.length / kMinute),
                static_cast<unsigned long long>(window.requests),
                static_cast<unsigned long long>(window.missed), window.burn);
  return line.data();
}

}  // namespace

std::string ToText(const burn_report& report) {
  const int width = NameWidth(report);
  std::array<char, 256> heading{};
  std::snprintf(heading.data(), heading.size(),
                "%-*s  %9s  %7s  %10s  %8s  %8s\n", width, "desk", "objective",
                "window", "requests", "missed", "burn");
  std::string text = heading.data();
  for (const desk_burn& desk : report.desks) {
    for (const burn_window& window : desk.windows)
      text += FormatRow(width, desk, window);
  }
  return text;
}

}  // namespace egretrack::telemetry
