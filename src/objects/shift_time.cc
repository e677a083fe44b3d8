#include "objects/shift_time.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <cstdio>

namespace egretrack::objects {
namespace {

constexpr std::array<std::string_view, kDaysPerWeek> kDayNames{
    "mon", "tue", "wed", "thu", "fri", "sat", "sun"};
constexpr unsigned kMinutesPerHour = 60;
constexpr std::size_t kTimeOfDayLength = 5;
constexpr std::size_t kColonPosition = 2;

bool OpensOnDay(const shift& object, unsigned day) {
  return ((object.days >> day) & 1U) != 0;
}

std::optional<unsigned> ParseTwoDigits(std::string_view digits) {
  unsigned value = 0;
  const char* end = digits.data() + digits.size();
  const auto [stop, code] = std::from_chars(digits.data(), end, value);
  if (code != std::errc() || stop != end)
    return std::nullopt;
  return value;
}

}  // namespace

unsigned MinuteOfWeek(wall_time now) {
  const auto day = std::chrono::floor<std::chrono::days>(now);
  const auto minutes = std::chrono::floor<std::chrono::minutes>(now - day);
  const unsigned day_of_week = std::chrono::weekday(day).iso_encoding() - 1;
  return (day_of_week * kMinutesPerDay) +
         static_cast<unsigned>(minutes.count());
}

bool IsShiftOpen(const shift& object, unsigned minute_of_week) {
  const unsigned day = minute_of_week / kMinutesPerDay;
  const unsigned minute = minute_of_week % kMinutesPerDay;
  const bool ends_next_day = object.closes <= object.opens;
  if (OpensOnDay(object, day) && minute >= object.opens &&
      (ends_next_day || minute < object.closes)) {
    return true;
  }
  const unsigned day_before = (day + kDaysPerWeek - 1) % kDaysPerWeek;
  return ends_next_day && OpensOnDay(object, day_before) &&
         minute < object.closes;
}

std::string_view DayName(unsigned day) {
  return kDayNames.at(day);
}

std::optional<unsigned> ParseDay(std::string_view name) {
  const auto found = std::find(kDayNames.begin(), kDayNames.end(), name);
  if (found == kDayNames.end())
    return std::nullopt;
  return static_cast<unsigned>(found - kDayNames.begin());
}

std::optional<std::uint16_t> ParseTimeOfDay(std::string_view text) {
  if (text.size() != kTimeOfDayLength || text[kColonPosition] != ':')
    return std::nullopt;
  const auto hours = ParseTwoDigits(text.substr(0, kColonPosition));
  const auto minutes = ParseTwoDigits(text.substr(kColonPosition + 1));
  if (!hours || !minutes || *minutes >= kMinutesPerHour)
    return std::nullopt;
  const unsigned total = (*hours * kMinutesPerHour) + *minutes;
  if (total > kMinutesPerDay)
    return std::nullopt;
  return static_cast<std::uint16_t>(total);
}

std::string FormatTimeOfDay(unsigned minutes) {
  std::array<char, 16> text{};
  std::snprintf(text.data(), text.size(), "%02u:%02u",
                minutes / kMinutesPerHour, minutes % kMinutesPerHour);
  return text.data();
}

}  // namespace egretrack::objects
