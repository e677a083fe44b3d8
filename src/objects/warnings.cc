#include "egretrack/objects/warnings.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <utility>

#include "egretrack/objects/check.h"
#include "egretrack/objects/host_name.h"
#include "objects/sections.h"

namespace egretrack::objects {
namespace {

// Indexed by warning_kind.
constexpr std::array<std::string_view, 7> kWarningNames{
    "hidden_prefix",           "unmatchable_prefix",
    "deadline_below_expected", "endpoint_without_worker",
    "endpoint_above_workers",  "limit_above_slots",
    "unknown_endpoint",
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

// ---- Workers ----------------------------------------------------------------

using worker_span = std::span<const worker>;

void WarnAboutEndpointsWithoutWorker(const object_set& set,
                                     worker_span workers,
                                     warning_list& warnings) {
  for (const endpoint& object : set.endpoints) {
    if (std::ranges::find(workers, object.name, &worker::endpoint) ==
        workers.end()) {
      AddWarning(warning_kind::kEndpointWithoutWorker, EndpointSection(),
                 object, "", "no worker serves this endpoint", warnings);
    }
  }
}

struct capacity_key {
  std::string_view name;
  std::uint32_t endpoint::*required;
  std::uint32_t worker::*available;
};
constexpr std::array kCapacities{
    capacity_key{"slots", &endpoint::slots, &worker::slots},
    capacity_key{"connections", &endpoint::connections, &worker::connections},
};

void WarnAboutLargeEndpoints(const object_set& set,
                             worker_span workers,
                             warning_list& warnings) {
  for (const endpoint& object : set.endpoints) {
    for (const capacity_key& capacity : kCapacities) {
      std::uint32_t largest = 0;
      for (const worker& instance : workers) {
        if (instance.endpoint == object.name)
          largest = std::max(largest, instance.*capacity.available);
      }
      // An endpoint without a worker has a warning of its own.
      if (largest == 0 || object.*capacity.required <= largest)
        continue;
      AddWarning(
          warning_kind::kEndpointAboveWorkers, EndpointSection(), object,
          capacity.name,
          "above the " + std::to_string(largest) + " of the largest worker",
          warnings);
    }
  }
}

std::uint64_t CountSlots(const object_set& set,
                         worker_span workers,
                         std::string_view desk_name) {
  std::uint64_t slots = 0;
  for (const worker& instance : workers) {
    const endpoint* served = FindEndpoint(set, instance.endpoint);
    if (served != nullptr && served->desk == desk_name)
      slots += instance.slots;
  }
  return slots;
}

void WarnAboutLimitsAboveSlots(const object_set& set,
                               worker_span workers,
                               warning_list& warnings) {
  for (const limit& object : set.limits) {
    const std::uint64_t slots = CountSlots(set, workers, object.desk);
    // A desk without workers has warnings for its endpoints.
    if (slots == 0 || object.max_running <= slots)
      continue;
    AddWarning(warning_kind::kLimitAboveSlots, LimitSection(), object,
               "max_running",
               "above the " + std::to_string(slots) +
                   " slots of all workers of desk '" + object.desk + "'",
               warnings);
  }
}

void WarnAboutUnknownEndpoints(const object_set& set,
                               worker_span workers,
                               warning_list& warnings) {
  for (const worker& object : workers) {
    if (FindEndpoint(set, object.endpoint) == nullptr) {
      AddWarning(warning_kind::kUnknownEndpoint, WorkerSection(), object,
                 "endpoint",
                 "endpoint '" + object.endpoint + "' does not exist", warnings);
    }
  }
}

using warning_check = void (*)(const object_set& set, warning_list& warnings);
constexpr std::array<warning_check, 3> kChecks{
    &WarnAboutHiddenPrefixes,
    &WarnAboutUnmatchablePrefixes,
    &WarnAboutShortDeadlines,
};

using worker_check = void (*)(const object_set& set,
                              worker_span workers,
                              warning_list& warnings);
constexpr std::array<worker_check, 4> kWorkerChecks{
    &WarnAboutEndpointsWithoutWorker,
    &WarnAboutLargeEndpoints,
    &WarnAboutLimitsAboveSlots,
    &WarnAboutUnknownEndpoints,
};

}  // namespace

std::string_view WarningName(warning_kind kind) {
  return kWarningNames.at(static_cast<std::size_t>(kind));
}

std::string config_warning::ToString() const {
  return config_fault{{}, object, key, reason}.ToString();
}

std::vector<config_warning> FindWarnings(
    const object_set& set,
    std::optional<std::span<const worker>> workers) {
  warning_list warnings;
  for (const warning_check check : kChecks)
    check(set, warnings);
  if (workers) {
    for (const worker_check check : kWorkerChecks)
      check(set, *workers, warnings);
  }
  return warnings;
}

}  // namespace egretrack::objects
