#include "egretrack/objects/configuration.h"

#include <algorithm>

#include "objects/shift_time.h"

namespace egretrack::objects {
namespace {

template <typename Object>
const Object* FindByName(const std::vector<Object>& list,
                         std::string_view name) {
  const auto found = std::lower_bound(
      list.begin(), list.end(), name,
      [](const Object& object, std::string_view n) { return object.name < n; });
  if (found == list.end() || found->name != name)
    return nullptr;
  return &*found;
}

// True if an open shift of the desk lists the name, or if the desk has no
// shifts.
bool IsOpen(const object_set& set,
            std::string_view desk,
            std::vector<std::string> shift::*listed_names,
            std::string_view name,
            wall_time now) {
  const unsigned minute = MinuteOfWeek(now);
  bool has_shifts = false;
  for (const shift& object : set.shifts) {
    if (object.desk != desk)
      continue;
    has_shifts = true;
    const auto& list = object.*listed_names;
    if (IsShiftOpen(object, minute) &&
        std::find(list.begin(), list.end(), name) != list.end()) {
      return true;
    }
  }
  return !has_shifts;
}

}  // namespace

const desk* FindDesk(const object_set& set, std::string_view name) {
  return FindByName(set.desks, name);
}

const request_kind* FindKind(const object_set& set, std::string_view name) {
  return FindByName(set.kinds, name);
}

const endpoint* FindEndpoint(const object_set& set, std::string_view name) {
  return FindByName(set.endpoints, name);
}

const shift* FindShift(const object_set& set, std::string_view name) {
  return FindByName(set.shifts, name);
}

const limit* FindLimit(const object_set& set, std::string_view name) {
  return FindByName(set.limits, name);
}

const limit* FindTeamLimit(const object_set& set,
                           std::string_view desk,
                           std::string_view team) {
  const auto found =
      std::find_if(set.limits.begin(), set.limits.end(), [&](const limit& l) {
        return !l.team.empty() && l.team == team && l.desk == desk;
      });
  return found == set.limits.end() ? nullptr : &*found;
}

bool IsEndpointOpen(const object_set& set,
                    const endpoint& object,
                    wall_time now) {
  return IsOpen(set, object.desk, &shift::endpoints, object.name, now);
}

bool IsLimitOpen(const object_set& set, const limit& object, wall_time now) {
  return IsOpen(set, object.desk, &shift::limits, object.name, now);
}

}  // namespace egretrack::objects
