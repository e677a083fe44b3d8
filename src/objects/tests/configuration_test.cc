#include "egretrack/objects/configuration.h"

#include <chrono>

#include <gtest/gtest.h>

namespace egretrack::objects {
namespace {

using std::chrono::hours;
using std::chrono::minutes;
using std::chrono::sys_days;
using std::chrono::year_month_day;

// A time in June 2026, where day 1 is a Monday.
wall_time At(unsigned day, hours hour, minutes minute = minutes(0)) {
  using namespace std::chrono;  // NOLINT: for the calendar literals.
  return sys_days(year_month_day(year(2026), June, std::chrono::day(day))) +
         hour + minute;
}

object_set ObjectsWithNightShift() {
  object_set set;
  set.endpoints.resize(2);
  set.endpoints[0].name = "e";
  set.endpoints[0].desk = "d";
  set.endpoints[1].name = "f";
  set.endpoints[1].desk = "d";
  set.limits.resize(1);
  set.limits[0].name = "l";
  set.limits[0].desk = "d";
  shift& night = set.shifts.emplace_back();
  night.desk = "d";
  night.days = 0b1000000;
  night.opens = 22 * 60;
  night.closes = 6 * 60;
  night.endpoints = {"e"};
  night.limits = {"l"};
  return set;
}

// Guards against a night shift that ends at midnight or starts a day late. The
// shift lasts from Sunday 22:00 to Monday 06:00, across the end of the week.
TEST(Shift, NightShiftOpensAcrossMidnight) {
  const object_set set = ObjectsWithNightShift();
  const auto open = [&](wall_time now) {
    EXPECT_EQ(IsLimitOpen(set, set.limits[0], now),
              IsEndpointOpen(set, set.endpoints[0], now));
    return IsEndpointOpen(set, set.endpoints[0], now);
  };
  EXPECT_FALSE(open(At(7, hours(21), minutes(59))));
  EXPECT_TRUE(open(At(7, hours(22))));
  EXPECT_TRUE(open(At(8, hours(5), minutes(59))));
  EXPECT_FALSE(open(At(8, hours(6))));
  EXPECT_FALSE(open(At(8, hours(22))));
}

// Guards against endpoints that are open although no shift lists them, and
// against shifts of one desk that close the endpoints of another.
TEST(Shift, OpensOnlyListedEndpoints) {
  object_set set = ObjectsWithNightShift();
  EXPECT_FALSE(IsEndpointOpen(set, set.endpoints[1], At(7, hours(23))));
  set.endpoints[1].desk = "other";
  EXPECT_TRUE(IsEndpointOpen(set, set.endpoints[1], At(7, hours(23))));
}

}  // namespace
}  // namespace egretrack::objects
