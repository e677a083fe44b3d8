#include "objects/relations.h"

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <span>
#include <type_traits>
#include <utility>

#include "objects/sections.h"
#include "objects/shift_time.h"

namespace egretrack::objects {
namespace {

using fault_list = std::vector<config_fault>;

// Bounded because an entry walks the parents of a limit for each task that it
// starts.
constexpr unsigned kMaxLimitLevels = 16;

std::string Quote(std::string_view name) {
  return "'" + std::string(name) + "'";
}

bool Contains(const std::vector<std::string>& names, std::string_view name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

// ---- References between objects --------------------------------------------

template <typename Target>
using find_function = const Target* (*)(const object_set& set,
                                        std::string_view name);

// Returns why a name does not refer to an object of the same desk; empty if it
// does.
template <typename Object, typename Target>
std::string DescribeBadReference(const object_set& set,
                                 const Object& referrer,
                                 const object_section<Target>& target_section,
                                 find_function<Target> find,
                                 std::string_view name) {
  const Target* target = find(set, name);
  const std::string target_name =
      std::string(target_section.name) + " " + Quote(name);
  if (target == nullptr)
    return target_name + " does not exist";
  if constexpr (!std::is_same_v<Target, desk>) {
    // A missing desk key has a fault of its own.
    if (!referrer.desk.empty() && target->desk != referrer.desk)
      return target_name + " belongs to desk " + Quote(target->desk);
  }
  return "";
}

std::span<const std::string> AsNameSpan(const std::vector<std::string>& names) {
  return names;
}

// An absent key is an empty string, which refers to no object.
std::span<const std::string> AsNameSpan(const std::string& name) {
  return {&name, name.empty() ? std::size_t{0} : std::size_t{1}};
}

template <typename Object, typename Member, typename Target>
void CheckReference(const object_set& set,
                    const object_section<Object>& source_section,
                    std::string_view key,
                    Member Object::*member,
                    const object_section<Target>& target_section,
                    find_function<Target> find,
                    fault_list& faults) {
  for (const Object& object : set.*source_section.list) {
    for (const std::string& name : AsNameSpan(object.*member)) {
      std::string reason =
          DescribeBadReference(set, object, target_section, find, name);
      if (reason.empty())
        continue;
      faults.push_back({config_errc::kUnknownName,
                        source_section.QualifiedName(object.name),
                        std::string(key), std::move(reason)});
    }
  }
}

void CheckDesks(const object_set& set, fault_list& faults) {
  if (set.desks.empty()) {
    faults.push_back(
        {config_errc::kMissingKey, "", "desk", "the document has no desk"});
  }
  const auto check = [&](const auto& source_section, auto member) {
    CheckReference(set, source_section, "desk", member, DeskSection(),
                   &FindDesk, faults);
  };
  check(KindSection(), &request_kind::desk);
  check(EndpointSection(), &endpoint::desk);
  check(ShiftSection(), &shift::desk);
  check(LimitSection(), &limit::desk);
}

void CheckReferences(const object_set& set, fault_list& faults) {
  CheckReference(set, EndpointSection(), "kinds", &endpoint::kinds,
                 KindSection(), &FindKind, faults);
  CheckReference(set, ShiftSection(), "endpoints", &shift::endpoints,
                 EndpointSection(), &FindEndpoint, faults);
  CheckReference(set, ShiftSection(), "limits", &shift::limits, LimitSection(),
                 &FindLimit, faults);
  CheckReference(set, LimitSection(), "parent", &limit::parent, LimitSection(),
                 &FindLimit, faults);
}

// ---- Request kinds ----------------------------------------------------------

void CheckDeadlines(const object_set& set, fault_list& faults) {
  for (const request_kind& kind : set.kinds) {
    if (kind.deadline > kind.max_deadline) {
      faults.push_back({config_errc::kOutOfRange,
                        KindSection().QualifiedName(kind.name), "deadline_ms",
                        "longer than max_deadline_ms"});
    }
  }
}

bool IsServed(const object_set& set, const request_kind& kind) {
  return std::any_of(
      set.endpoints.begin(), set.endpoints.end(),
      [&](const endpoint& e) { return Contains(e.kinds, kind.name); });
}

void CheckKindsServed(const object_set& set, fault_list& faults) {
  for (const request_kind& kind : set.kinds) {
    if (!IsServed(set, kind)) {
      faults.push_back({config_errc::kUnservedKind,
                        KindSection().QualifiedName(kind.name), "",
                        "no endpoint serves this kind"});
    }
  }
}

// ---- Shifts -----------------------------------------------------------------

std::string FormatMinuteOfWeek(unsigned minute_of_week) {
  return std::string(DayName(minute_of_week / kMinutesPerDay)) + " " +
         FormatTimeOfDay(minute_of_week % kMinutesPerDay);
}

using shift_pair = std::pair<const shift*, const shift*>;

// Returns pairs of overlapping shifts, each with the first minute of the week
// at which both are open. If more than two shifts are open at a minute, only
// neighbours in the list form a pair.
std::map<shift_pair, unsigned> FindOverlaps(
    const std::vector<const shift*>& shifts) {
  std::map<shift_pair, unsigned> overlaps;
  for (unsigned minute = 0; minute < kMinutesPerWeek; ++minute) {
    const shift* open_shift = nullptr;
    for (const shift* candidate : shifts) {
      if (!IsShiftOpen(*candidate, minute))
        continue;
      if (open_shift != nullptr)
        overlaps.try_emplace({open_shift, candidate}, minute);
      open_shift = candidate;
    }
  }
  return overlaps;
}

void CheckShiftOverlaps(const object_set& set, fault_list& faults) {
  std::map<std::string_view, std::vector<const shift*>> by_desk;
  for (const shift& object : set.shifts)
    by_desk[object.desk].push_back(&object);
  for (const auto& [desk_name, shifts] : by_desk) {
    for (const auto& [pair, minute] : FindOverlaps(shifts)) {
      faults.push_back({config_errc::kShiftOverlap,
                        ShiftSection().QualifiedName(pair.second->name), "",
                        "overlaps shift " + Quote(pair.first->name) + " on " +
                            FormatMinuteOfWeek(minute)});
    }
  }
}

// ---- Limits -----------------------------------------------------------------

void AddLimitFault(config_errc code,
                   const limit& object,
                   std::string_view key,
                   std::string reason,
                   fault_list& faults) {
  faults.push_back({code, LimitSection().QualifiedName(object.name),
                    std::string(key), std::move(reason)});
}

bool IsParent(const object_set& set, const limit& object) {
  return std::any_of(set.limits.begin(), set.limits.end(),
                     [&](const limit& l) { return l.parent == object.name; });
}

void CheckLimitTeams(const object_set& set, fault_list& faults) {
  std::map<std::pair<std::string_view, std::string_view>, const limit*>
      limit_by_team;
  for (const limit& object : set.limits) {
    if (object.team.empty()) {
      if (!IsParent(set, object)) {
        AddLimitFault(
            config_errc::kMissingKey, object, "team",
            "a limit without a team must be the parent of another limit",
            faults);
      }
      continue;
    }
    const auto [existing, added] =
        limit_by_team.try_emplace({object.desk, object.team}, &object);
    if (!added) {
      AddLimitFault(config_errc::kDuplicateTeam, object, "team",
                    "team " + Quote(object.team) + " already has limit " +
                        Quote(existing->second->name),
                    faults);
    }
  }
}

const limit* FindParent(const object_set& set, const limit& object) {
  return object.parent.empty() ? nullptr : FindLimit(set, object.parent);
}

// Returns what is wrong with the chain of parents of a limit. Empty if the
// chain ends, or if it enters a cycle that the limit is not part of: such a
// cycle is reported for the limits that form it.
std::string DescribeParentChainFault(const object_set& set,
                                     const limit& object) {
  std::vector<const limit*> chain;
  const limit* ancestor = FindParent(set, object);
  while (ancestor != nullptr && chain.size() < kMaxLimitLevels) {
    if (ancestor == &object)
      return "the parents form a cycle";
    if (std::find(chain.begin(), chain.end(), ancestor) != chain.end())
      return "";
    chain.push_back(ancestor);
    ancestor = FindParent(set, *ancestor);
  }
  if (ancestor == nullptr)
    return "";
  return "more than " + std::to_string(kMaxLimitLevels) + " levels of parents";
}

void CheckLimitParents(const object_set& set, fault_list& faults) {
  for (const limit& object : set.limits) {
    std::string reason = DescribeParentChainFault(set, object);
    if (!reason.empty()) {
      AddLimitFault(config_errc::kLimitCycle, object, "parent",
                    std::move(reason), faults);
    }
  }
}

struct bound_key {
  std::string_view name;
  std::uint32_t limit::*member;
};
constexpr std::array kBounds{
    bound_key{"max_running", &limit::max_running},
    bound_key{"max_queued", &limit::max_queued},
};

// A limit can never reach a bound above that of its parent.
void CheckParentBounds(const object_set& set, fault_list& faults) {
  for (const limit& object : set.limits) {
    const limit* parent = FindParent(set, object);
    if (parent == nullptr)
      continue;
    for (const bound_key& bound : kBounds) {
      const std::uint32_t parent_bound = parent->*bound.member;
      if (parent_bound == 0 || object.*bound.member <= parent_bound)
        continue;
      AddLimitFault(config_errc::kUnreachableLimit, object, bound.name,
                    "above the " + std::to_string(parent_bound) +
                        " of parent " + Quote(parent->name),
                    faults);
    }
  }
}

bool HasShifts(const object_set& set, std::string_view desk_name) {
  return std::any_of(set.shifts.begin(), set.shifts.end(),
                     [&](const shift& s) { return s.desk == desk_name; });
}

bool IsOpenedWithEndpoints(const object_set& set, const limit& object) {
  return std::any_of(set.shifts.begin(), set.shifts.end(), [&](const shift& s) {
    return !s.endpoints.empty() && Contains(s.limits, object.name);
  });
}

void CheckLimitReachability(const object_set& set, fault_list& faults) {
  for (const limit& object : set.limits) {
    const bool served =
        std::any_of(set.endpoints.begin(), set.endpoints.end(),
                    [&](const endpoint& e) { return e.desk == object.desk; });
    if (!served) {
      AddLimitFault(config_errc::kUnreachableLimit, object, "desk",
                    "desk " + Quote(object.desk) + " has no endpoint", faults);
    }
    if (!object.team.empty() && HasShifts(set, object.desk) &&
        !IsOpenedWithEndpoints(set, object)) {
      AddLimitFault(config_errc::kUnreachableLimit, object, "",
                    "no shift with endpoints opens this limit", faults);
    }
  }
}

// Each slot in use needs a connection to its endpoint instance.
void CheckEndpointSlots(const object_set& set, fault_list& faults) {
  for (const endpoint& object : set.endpoints) {
    if (object.slots <= object.connections)
      continue;
    faults.push_back({config_errc::kUnreachableLimit,
                      EndpointSection().QualifiedName(object.name), "slots",
                      "more slots than the " +
                          std::to_string(object.connections) +
                          " connections of an instance"});
  }
}

using relation_check = void (*)(const object_set& set, fault_list& faults);
constexpr std::array<relation_check, 10> kChecks{
    &CheckDesks,         &CheckReferences,    &CheckDeadlines,
    &CheckKindsServed,   &CheckShiftOverlaps, &CheckLimitTeams,
    &CheckLimitParents,  &CheckParentBounds,  &CheckLimitReachability,
    &CheckEndpointSlots,
};

}  // namespace

void CheckRelations(const object_set& set, std::vector<config_fault>& faults) {
  for (const relation_check check : kChecks)
    check(set, faults);
}

}  // namespace egretrack::objects
