#include "egretrack/objects/warnings.h"

#include <array>
#include <map>
#include <utility>

#include "egretrack/objects/check.h"
#include "egretrack/objects/host_name.h"
#include "objects/sections.h"

namespace egretrack::objects {
namespace {

// Indexed by warning_kind.
constexpr std::array<std::string_view, 3> kWarningNames{
    "hidden_prefix",
    "unmatchable_prefix",
    "deadline_below_expected",
};

using warning_list = std::vector<config_warning>;

template <typename Object>
void AddWarning(warning_kind kind,
                const object_section<Object>& section,
                const Object& object,
                std::string_view key,
                std::string reason,
                warning_list& warnings) {
  warnings.push_back({kind, section.QualifiedName(object.name),
                      std::string(key), std::move(reason)});
}

// ---- Request kinds ----------------------------------------------------------

// A longer prefix hides only a part of a shorter one, because a path that ends
// with the shorter prefix still matches it. Among equal prefixes the route
// table uses the first kind by name.
void WarnAboutHiddenPrefixes(const object_set& set, warning_list& warnings) {
  std::map<std::pair<std::string, std::string_view>, const request_kind*>
      first_kinds;
  for (const request_kind& kind : set.kinds) {
    if (kind.path_prefix.empty())
      continue;
    const auto [existing, added] = first_kinds.try_emplace(
        {CanonicalHost(kind.host), kind.path_prefix}, &kind);
    if (!added) {
      AddWarning(warning_kind::kHiddenPrefix, KindSection(), kind,
                 "path_prefix",
                 "hidden by request_kind '" + existing->second->name +
                     "' with the same host and prefix",
                 warnings);
    }
  }
}

void WarnAboutUnmatchablePrefixes(const object_set& set,
                                  warning_list& warnings) {
  for (const request_kind& kind : set.kinds) {
    if (kind.path_prefix.empty() && !kind.host.empty()) {
      AddWarning(warning_kind::kUnmatchablePrefix, KindSection(), kind, "host",
                 "has no effect without path_prefix", warnings);
    }
    if (!kind.path_prefix.empty() && !kind.path_prefix.starts_with('/')) {
      AddWarning(
          warning_kind::kUnmatchablePrefix, KindSection(), kind, "path_prefix",
          "matches no path, because each path begins with '/'", warnings);
    }
  }
}

struct deadline_key {
  std::string_view name;
  milliseconds request_kind::*member;
};
constexpr std::array kDeadlines{
    deadline_key{"deadline_ms", &request_kind::deadline},
    deadline_key{"max_deadline_ms", &request_kind::max_deadline},
};

void WarnAboutShortDeadlines(const object_set& set, warning_list& warnings) {
  for (const request_kind& kind : set.kinds) {
    for (const deadline_key& deadline : kDeadlines) {
      if (kind.*deadline.member >= kind.expected)
        continue;
      AddWarning(
          warning_kind::kDeadlineBelowExpected, KindSection(), kind,
          deadline.name,
          "below the expected_ms " + std::to_string(kind.expected.count()),
          warnings);
    }
  }
}

using warning_check = void (*)(const object_set& set, warning_list& warnings);
constexpr std::array<warning_check, 3> kChecks{
    &WarnAboutHiddenPrefixes,
    &WarnAboutUnmatchablePrefixes,
    &WarnAboutShortDeadlines,
};

}  // namespace

std::string_view WarningName(warning_kind kind) {
  return kWarningNames.at(static_cast<std::size_t>(kind));
}

std::string config_warning::ToString() const {
  return config_fault{{}, object, key, reason}.ToString();
}

std::vector<config_warning> FindWarnings(const object_set& set) {
  warning_list warnings;
  for (const warning_check check : kChecks)
    check(set, warnings);
  return warnings;
}

}  // namespace egretrack::objects
