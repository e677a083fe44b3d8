#ifndef EGRETRACK_ENTRY_REQUEST_ERROR_H_
#define EGRETRACK_ENTRY_REQUEST_ERROR_H_

#include <string_view>
#include <system_error>

#include "egretrack/base/error.h"
#include "egretrack/net/http.h"

namespace egretrack::entry {

// Errors of requests that the entry answers without the decision core.
enum class request_errc {
  kMalformedJson = 1,
  kWrongType,
  kMissingField,
  kUnknownField,
  kOutOfRange,
  kInvalidParameter,
  kInvalidId,
  kUnknownPath,
  kWrongMethod,
  kUnknownAgent,
  kUnknownVersion,
  kWrongHome,
  kOverloaded,
  kNotReady,
  kConflict,
  kInvalidConfiguration,
  kTableUnavailable,
  kPublicationUnknown,
};

std::error_code make_error_code(request_errc code);

// Stable name in HTTP responses, for example "wrong_method".
std::string_view Name(request_errc code);
unsigned HttpStatus(request_errc code);

// Builds a response with the body {"error":..., "message":...}.
net::http_response MakeErrorResponse(request_errc code,
                                     std::string_view message);
// `failure.code` must be a request_errc.
net::http_response MakeErrorResponse(const error& failure);

}  // namespace egretrack::entry

template <>
struct std::is_error_code_enum<egretrack::entry::request_errc>
    : std::true_type {};

#endif  // EGRETRACK_ENTRY_REQUEST_ERROR_H_
