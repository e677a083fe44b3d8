#include "objects/sections.h"

#include <array>

#include "objects/shift_time.h"

namespace egretrack::objects {
namespace {

using keys::custom_key;
using keys::fault_list;
using keys::key_errc;
using keys::key_rule;
using keys::number_range;

// The upper bound of one hour is far above the sub-second requests that
// egretrack is made for.
constexpr number_range kDurationMs{1, 3600000};
constexpr number_range kTasksPerJob{1, 1200};
// The upper bound is half the maximum size of a request body, which carries up
// to 1,200 payloads.
constexpr number_range kPayloadBytes{1, 16777216};

void AddTimeOfDayFault(std::string_view key,
                       std::string_view latest,
                       fault_list& faults) {
  faults.push_back({key_errc::kOutOfRange, std::string(key),
                    "the value is not a time of day from \"00:00\" to \"" +
                        std::string(latest) + "\""});
}

template <std::uint16_t shift::*kMember, unsigned kLatest>
void ReadTimeOfDay(const toml::node& node,
                   std::string_view key,
                   shift& object,
                   fault_list& faults) {
  const auto* text = node.as_string();
  const auto minutes =
      text != nullptr ? ParseTimeOfDay(text->get()) : std::nullopt;
  if (!minutes || *minutes > kLatest)
    return AddTimeOfDayFault(key, FormatTimeOfDay(kLatest), faults);
  object.*kMember = *minutes;
}

template <std::uint16_t shift::*kMember>
std::string FormatShiftTime(const shift& object) {
  return keys::FormatValue(std::string_view(FormatTimeOfDay(object.*kMember)));
}

void ReadDays(const toml::node& node,
              std::string_view key,
              shift& object,
              fault_list& faults) {
  std::vector<std::string> names;
  const keys::string_rule rule{
      key_errc::kOutOfRange,
      [](std::string_view name) { return ParseDay(name).has_value(); },
      "one of mon, tue, wed, thu, fri, sat, sun"};
  const std::size_t faults_before = faults.size();
  keys::ReadValue(node, key, rule, names, faults);
  for (const auto& name : names)
    object.days |= static_cast<std::uint8_t>(1U << *ParseDay(name));
  if (object.days == 0 && faults.size() == faults_before) {
    faults.push_back(
        {key_errc::kOutOfRange, std::string(key), "no day is named"});
  }
}

std::string FormatDays(const shift& object) {
  std::vector<std::string> names;
  for (unsigned day = 0; day < kDaysPerWeek; ++day) {
    if (((object.days >> day) & 1U) != 0)
      names.emplace_back(DayName(day));
  }
  return keys::FormatValue(names);
}

template <typename Object>
key_rule<Object> NameRule(std::string_view name,
                          std::string Object::*member,
                          bool required) {
  return {.name = name,
          .target = member,
          .allowed = keys::kNameRule,
          .required = required};
}

template <typename Object>
key_rule<Object> NameListRule(std::string_view name,
                              std::vector<std::string> Object::*member,
                              bool required) {
  return {.name = name,
          .target = member,
          .allowed = keys::kNameRule,
          .required = required};
}

}  // namespace

object_section<desk> DeskSection() {
  // An objective of 1 would leave an error budget of zero, for which the burn
  // rate is not defined.
  static const std::array kKeys{
      key_rule<desk>{.name = "objective",
                     .target = &desk::objective,
                     .range = {0.5, 0.999999}},
  };
  return {"desk", &object_set::desks, kKeys};
}

object_section<request_kind> KindSection() {
  using o = request_kind;
  using rule = key_rule<o>;
  static const std::array kKeys{
      NameRule("desk", &o::desk, true),
      rule{.name = "idempotent", .target = &o::idempotent},
      rule{.name = "deadline_ms", .target = &o::deadline, .range = kDurationMs},
      rule{.name = "max_deadline_ms",
           .target = &o::max_deadline,
           .range = kDurationMs},
      rule{.name = "expected_ms", .target = &o::expected, .range = kDurationMs},
      rule{.name = "max_tasks", .target = &o::max_tasks, .range = kTasksPerJob},
      rule{.name = "max_payload_bytes",
           .target = &o::max_payload_bytes,
           .range = kPayloadBytes},
      rule{.name = "host", .target = &o::host, .allowed = keys::kAnyString},
      rule{.name = "path_prefix",
           .target = &o::path_prefix,
           .allowed = keys::kAnyString},
      rule{.name = "priority", .target = &o::priority, .range = {0, 1000}},
      rule{.name = "max_attempts",
           .target = &o::max_attempts,
           .range = {1, 1000}},
      rule{.name = "stretch", .target = &o::stretch, .range = {1, 1000}},
      rule{.name = "target_ms",
           .target = &o::target,
           .range = {0, kDurationMs.high}},
  };
  return {"request_kind", &object_set::kinds, kKeys};
}

object_section<endpoint> EndpointSection() {
  using o = endpoint;
  using rule = key_rule<o>;
  static const std::array kKeys{
      NameRule("desk", &o::desk, true),
      NameListRule("kinds", &o::kinds, true),
      rule{.name = "slots", .target = &o::slots, .range = {1, 4096}},
      rule{.name = "connections",
           .target = &o::connections,
           .range = {1, 65535}},
  };
  return {"endpoint", &object_set::endpoints, kKeys};
}

object_section<shift> ShiftSection() {
  using o = shift;
  using rule = key_rule<o>;
  static const std::array kKeys{
      NameRule("desk", &o::desk, true),
      rule{.name = "days",
           .target = custom_key<o>{&ReadDays, &FormatDays},
           .required = true},
      rule{
          .name = "opens",
          .target = custom_key<o>{&ReadTimeOfDay<&o::opens, kMinutesPerDay - 1>,
                                  &FormatShiftTime<&o::opens>}},
      rule{.name = "closes",
           .target = custom_key<o>{&ReadTimeOfDay<&o::closes, kMinutesPerDay>,
                                   &FormatShiftTime<&o::closes>}},
      NameListRule("endpoints", &o::endpoints, false),
      NameListRule("limits", &o::limits, false),
  };
  return {"shift", &object_set::shifts, kKeys};
}

object_section<limit> LimitSection() {
  using o = limit;
  using rule = key_rule<o>;
  static const std::array kKeys{
      NameRule("desk", &o::desk, true),
      NameRule("team", &o::team, false),
      rule{.name = "weight", .target = &o::weight, .range = {1, 1000}},
      rule{.name = "max_running",
           .target = &o::max_running,
           .range = {0, 1000000}},
      rule{.name = "max_queued",
           .target = &o::max_queued,
           .range = {0, 10000000}},
      NameRule("parent", &o::parent, false),
  };
  return {"limit", &object_set::limits, kKeys};
}

object_section<worker> WorkerSection() {
  using o = worker;
  using rule = key_rule<o>;
  static const std::array kKeys{
      NameRule("endpoint", &o::endpoint, true),
      rule{.name = "slots", .target = &o::slots, .range = {1, 4096}},
      rule{.name = "connections",
           .target = &o::connections,
           .range = {1, 65535}},
  };
  return {"worker", nullptr, kKeys};
}

}  // namespace egretrack::objects
