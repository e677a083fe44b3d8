#ifndef EGRETRACK_BASE_ERROR_H_
#define EGRETRACK_BASE_ERROR_H_

#include <string>
#include <string_view>
#include <system_error>

namespace egretrack {

// Errors that any package may report.
enum class errc {
  kInvalidArgument = 1,
  kMailboxFull,
  kParseFailed,
  kNotFound,
  kConflict,
  kUnavailable,
  kTimeout,
  kOutcomeUnknown,
  kTooLarge,
  kSystem,
};

const std::error_category& BaseCategory();
std::error_code make_error_code(errc code);

// An error code and a text that names the object or input concerned.
struct error {
  std::error_code code;
  std::string detail;

  // "detail: message of the code", or the message alone.
  std::string ToString() const;
};

error MakeError(std::error_code code, std::string_view detail);

}  // namespace egretrack

template <>
struct std::is_error_code_enum<egretrack::errc> : std::true_type {};

#endif  // EGRETRACK_BASE_ERROR_H_
