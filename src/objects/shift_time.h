#ifndef EGRETRACK_SRC_OBJECTS_SHIFT_TIME_H_
#define EGRETRACK_SRC_OBJECTS_SHIFT_TIME_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "egretrack/base/time.h"
#include "egretrack/objects/configuration.h"

namespace egretrack::objects {

inline constexpr unsigned kDaysPerWeek = 7;
inline constexpr unsigned kMinutesPerDay = 24 * 60;
inline constexpr unsigned kMinutesPerWeek = kDaysPerWeek * kMinutesPerDay;

// Returns the number of minutes since Monday 00:00 UTC.
unsigned MinuteOfWeek(wall_time now);
bool IsShiftOpen(const shift& object, unsigned minute_of_week);

// Convert between the number of a weekday, where 0 is Monday, and its name,
// "mon" to "sun".
std::string_view DayName(unsigned day);
std::optional<unsigned> ParseDay(std::string_view name);

// Convert between a time of day such as "08:00" and minutes after midnight.
// "24:00" is the end of the day.
std::optional<std::uint16_t> ParseTimeOfDay(std::string_view text);
std::string FormatTimeOfDay(unsigned minutes);

}  // namespace egretrack::objects

#endif  // EGRETRACK_SRC_OBJECTS_SHIFT_TIME_H_
