#ifndef EGRETRACK_OBJECTS_CHECK_H_
#define EGRETRACK_OBJECTS_CHECK_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

#include "egretrack/objects/configuration.h"

namespace egretrack::objects {

enum class config_errc {
  kSyntax = 1,
  kUnknownKey,
  kMissingKey,
  kWrongType,
  kOutOfRange,
  kInvalidName,
  kUnknownName,
  kDuplicateTeam,
  kLimitCycle,
  kShiftOverlap,
  kUnreachableLimit,
  kUnservedKind,
};

std::error_code make_error_code(config_errc code);

// One fault of a document: which object and key it concerns, and why.
struct config_fault {
  std::error_code code;
  std::string object;  // "limit.team-palermo"; empty for the whole document.
  std::string key;     // Empty when the fault concerns no single key.
  std::string reason;

  std::string ToString() const;
};

// The parsed set, or every fault found; `faults` is empty exactly when the set
// may be published.
struct check_outcome {
  object_set objects;
  std::vector<config_fault> faults;
};

// Parses and checks a TOML document as one set.
check_outcome CheckDocument(std::string_view document);

// Sorts and checks a set that was not read from a document, as CheckDocument()
// does. Returns every fault found.
std::vector<config_fault> CheckObjectSet(object_set& set);

// Checks a document and makes a version of it. Errors: the first fault.
result<configuration_ptr> LoadConfiguration(std::uint64_t version,
                                            std::string_view document);

enum class change_kind : std::uint8_t { kAdded, kRemoved, kChanged };

struct object_change {
  change_kind kind = change_kind::kChanged;
  std::string object;  // "limit.team-palermo"
  std::string key;     // Only for kChanged.
  std::string before;
  std::string after;
};

// What differs between two sets, object by object and key by key.
std::vector<object_change> Diff(const object_set& before,
                                const object_set& after);

}  // namespace egretrack::objects

template <>
struct std::is_error_code_enum<egretrack::objects::config_errc>
    : std::true_type {};

#endif  // EGRETRACK_OBJECTS_CHECK_H_
