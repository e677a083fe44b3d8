#include "entry/request_error.h"

#include <array>
#include <string>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace egretrack::entry {
namespace {

struct code_text {
  request_errc code;
  unsigned status;
  std::string_view name;
  const char* message;
};

constexpr std::array kCodeTexts = {
    code_text{request_errc::kMalformedJson, 400, "malformed_json",
              "the body is not valid JSON"},
    code_text{request_errc::kWrongType, 400, "wrong_type",
              "a field has the wrong type"},
    code_text{request_errc::kMissingField, 400, "missing_field",
              "a required field is missing"},
    code_text{request_errc::kUnknownField, 400, "unknown_field",
              "a field is not known"},
    code_text{request_errc::kOutOfRange, 400, "out_of_range",
              "a value is out of its range"},
    code_text{request_errc::kInvalidParameter, 400, "invalid_parameter",
              "a parameter or header is invalid"},
    code_text{request_errc::kInvalidId, 400, "invalid_id",
              "the text is not a job id"},
    code_text{request_errc::kUnknownPath, 404, "unknown_path",
              "there is no such path"},
    code_text{request_errc::kWrongMethod, 405, "wrong_method",
              "the path does not support the method"},
    code_text{request_errc::kUnknownAgent, 404, "unknown_agent",
              "no such agent is connected"},
    code_text{request_errc::kUnknownVersion, 404, "unknown_version",
              "there is no such version of the configuration"},
    code_text{request_errc::kWrongHome, 421, "wrong_home",
              "this process is not the home of the job"},
    code_text{request_errc::kOverloaded, 503, "overloaded",
              "the entry has more requests than it can take"},
    code_text{request_errc::kNotReady, 503, "not_ready",
              "the entry does not serve yet, or drains"},
    code_text{request_errc::kConflict, 409, "conflict",
              "another publication came first"},
    code_text{request_errc::kInvalidConfiguration, 422, "invalid_configuration",
              "the set of objects has faults"},
    code_text{request_errc::kTableUnavailable, 503, "table_unavailable",
              "the table service was not reached"},
    code_text{request_errc::kPublicationUnknown, 504, "publication_unknown",
              "whether the set was published is unknown"},
};

const code_text& Find(request_errc code) {
  for (const code_text& text : kCodeTexts) {
    if (text.code == code)
      return text;
  }
  return kCodeTexts.front();
}

class request_category final : public std::error_category {
 public:
  const char* name() const noexcept override { return "egretrack.request"; }

  std::string message(int value) const override {
    return Find(static_cast<request_errc>(value)).message;
  }
};

}  // namespace

std::error_code make_error_code(request_errc code) {
  static const request_category kCategory;
  return {static_cast<int>(code), kCategory};
}

std::string_view Name(request_errc code) {
  return Find(code).name;
}

unsigned HttpStatus(request_errc code) {
  return Find(code).status;
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
