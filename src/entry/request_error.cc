#include "entry/request_error.h"

#include <array>
#include <string>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace egretrack::entry {
namespace {

struct code_info {
  request_errc code;
  unsigned status;
  std::string_view name;
  const char* message;
};

constexpr std::array kCodeInfos = {
    code_info{request_errc::kMalformedJson, 400, "malformed_json",
              "the body is not valid JSON"},
    code_info{request_errc::kWrongType, 400, "wrong_type",
              "a field has the wrong type"},
    code_info{request_errc::kMissingField, 400, "missing_field",
              "a required field is missing"},
    code_info{request_errc::kUnknownField, 400, "unknown_field",
              "a field is unknown"},
    code_info{request_errc::kOutOfRange, 400, "out_of_range",
              "a value is out of its range"},
    code_info{request_errc::kInvalidParameter, 400, "invalid_parameter",
              "a parameter or header is invalid"},
    code_info{request_errc::kInvalidId, 400, "invalid_id",
              "the text is not a job id"},
    code_info{request_errc::kUnknownPath, 404, "unknown_path",
              "the path does not exist"},
    code_info{request_errc::kWrongMethod, 405, "wrong_method",
              "the path does not support the method"},
    code_info{request_errc::kUnknownAgent, 404, "unknown_agent",
              "no such agent is connected"},
    code_info{request_errc::kUnknownVersion, 404, "unknown_version",
              "the configuration version does not exist"},
    code_info{request_errc::kWrongHome, 421, "wrong_home",
              "this process is not the home entry of the job"},
    code_info{request_errc::kOverloaded, 503, "overloaded",
              "the entry has too many pending requests"},
    code_info{request_errc::kNotReady, 503, "not_ready",
              "the entry is starting or draining"},
    code_info{request_errc::kConflict, 409, "conflict",
              "another publication came first"},
    code_info{request_errc::kInvalidConfiguration, 422, "invalid_configuration",
              "the set of objects is invalid"},
    code_info{request_errc::kTableUnavailable, 503, "table_unavailable",
              "the table service is unreachable"},
    code_info{request_errc::kPublicationUnknown, 504, "publication_unknown",
              "it is unknown whether the set was published"},
};

const code_info& FindInfo(request_errc code) {
  for (const code_info& info : kCodeInfos) {
    if (info.code == code)
      return info;
  }
  return kCodeInfos.front();
}

class request_category final : public std::error_category {
 public:
  const char* name() const noexcept override { return "egretrack.request"; }

  std::string message(int value) const override {
    return FindInfo(static_cast<request_errc>(value)).message;
  }
};

}  // namespace

std::error_code make_error_code(request_errc code) {
  static const request_category kCategory;
  return {static_cast<int>(code), kCategory};
}

std::string_view Name(request_errc code) {
  return FindInfo(code).name;
}

unsigned HttpStatus(request_errc code) {
  return FindInfo(code).status;
}

net::http_response MakeErrorResponse(request_errc code,
                                     std::string_view message) {
  boost::json::object body;
  body["error"] = boost::json::string_view(Name(code));
  body["message"] = boost::json::string_view(message);
  return {HttpStatus(code),
          {{"Content-Type", "application/json"}},
          boost::json::serialize(body)};
}

net::http_response MakeErrorResponse(const error& failure) {
  return MakeErrorResponse(static_cast<request_errc>(failure.code.value()),
                           failure.ToString());
}

}  // namespace egretrack::entry
