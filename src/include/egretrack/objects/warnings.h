#ifndef EGRETRACK_OBJECTS_WARNINGS_H_
#define EGRETRACK_OBJECTS_WARNINGS_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "egretrack/objects/configuration.h"
#include "egretrack/objects/worker_list.h"

namespace egretrack::objects {

enum class warning_kind : std::uint8_t {
  kHiddenPrefix,
  kUnmatchablePrefix,
  kDeadlineBelowExpected,
  kEndpointWithoutWorker,
  kEndpointAboveWorkers,
  kLimitAboveSlots,
  kUnknownEndpoint,
};

// Returns the name by which scripts distinguish warnings, as in
// "hidden_prefix".
std::string_view WarningName(warning_kind kind);

// A part of a valid object set that probably does not do what was intended.
struct config_warning {
  warning_kind kind = warning_kind::kHiddenPrefix;
  std::string object;  // As in "limit.team-palermo".
  std::string key;
  std::string reason;

  std::string ToString() const;
};

// Returns every warning for an object set that was checked without faults. The
// set is compared with the workers if they are known.
std::vector<config_warning> FindWarnings(
    const object_set& set,
    std::optional<std::span<const worker>> workers = std::nullopt);

}  // namespace egretrack::objects

#endif  // EGRETRACK_OBJECTS_WARNINGS_H_
