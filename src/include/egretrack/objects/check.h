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

// One validation fault of a document or object set.
struct config_fault {
  std::error_code code;
  // As in "limit.team-palermo"; empty if the fault concerns the whole document.
  std::string object;
  std::string key;  // Empty if the fault does not concern a single key.
  std::string reason;

  std::string ToString() const;
};

// The result of parsing and checking a document. The objects may be published
// only if `faults` is empty.
struct check_outcome {
  object_set objects;
  std::vector<config_fault> faults;
};

// Parses a TOML document and checks all of its objects; reports every fault.
check_outcome CheckDocument(std::string_view document);

// Sorts and checks an object set that was not read from a document. Applies the
// name and relation checks of CheckDocument(), but not the ranges of single
// keys. Returns every fault found.
std::vector<config_fault> CheckObjectSet(object_set& set);

// Checks a document and creates a configuration with the given version number
// from it. Returns the first fault as the error.
result<configuration_ptr> LoadConfiguration(std::uint64_t version,
                                            std::string_view document);

enum class change_kind : std::uint8_t { kAdded, kRemoved, kChanged };

struct object_change {
  change_kind kind = change_kind::kChanged;
  std::string object;  // As in "limit.team-palermo".
  std::string key;     // Set only for kChanged, as are the two values.
  std::string before;
  std::string after;
};

// Returns the differences between two object sets: added and removed objects,
// and each changed key of the objects that both sets hold.
std::vector<object_change> Diff(const object_set& before,
                                const object_set& after);

}  // namespace egretrack::objects

template <>
struct std::is_error_code_enum<egretrack::objects::config_errc>
    : std::true_type {};

#endif  // EGRETRACK_OBJECTS_CHECK_H_
