#include "objects/shift_time.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <cstdio>

namespace egretrack::objects {
namespace {

constexpr std::array<std::string_view, kDaysPerWeek> kDays{
    "mon", "tue", "wed", "thu", "fri", "sat", "sun"};
constexpr unsigned kMinutesPerHour = 60;
constexpr std::size_t kClockLength = 5;
constexpr std::size_t kClockColon = 2;

bool HasDay(const shift& object, unsigned day) {
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
  if (HasDay(object, day) && minute >= object.opens &&
      (ends_next_day || minute < object.closes)) {
    return true;
  }
  const unsigned day_before = (day + kDaysPerWeek - 1) % kDaysPerWeek;
  return ends_next_day && HasDay(object, day_before) && minute < object.closes;
}

std::string_view DayName(unsigned day) {
  return kDays.at(day);
}

std::optional<unsigned> ParseDay(std::string_view name) {
  const auto found = std::find(kDays.begin(), kDays.end(), name);
  if (found == kDays.end())
    return std::nullopt;
  return static_cast<unsigned>(found - kDays.begin());
}

std::optional<std::uint16_t> ParseClock(std::string_view text) {
  if (text.size() != kClockLength || text[kClockColon] != ':')
    return std::nullopt;
  const auto hours = ParseTwoDigits(text.substr(0, kClockColon));
  const auto minutes = ParseTwoDigits(text.substr(kClockColon + 1));
  if (!hours || !minutes || *minutes >= kMinutesPerHour)
    return std::nullopt;
  const unsigned total = (*hours * kMinutesPerHour) + *minutes;
  if (total > kMinutesPerDay)
    return std::nullopt;
  return static_cast<std::uint16_t>(total);
}

std::string PrintClock(unsigned minutes) {
  std::array<char, 16> text{};
  std::snprintf(text.data(), text.size(), "%02u:%02u",
                minutes / kMinutesPerHour, minutes % kMinutesPerHour);
  return text.data();
}

}  // namespace egretrack::objects
