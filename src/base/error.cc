#include "egretrack/base/error.h"

#include "egretrack/base/result.h"

namespace egretrack {
namespace {

class base_category final : public std::error_category {
 public:
  const char* name() const noexcept override { return "egretrack"; }

  std::string message(int value) const override {
    switch (static_cast<errc>(value)) {
      case errc::kInvalidArgument:
        return "invalid argument";
      case errc::kMailboxFull:
        return "mailbox full";
      case errc::kParseFailed:
        return "malformed input";
      case errc::kNotFound:
        return "not found";
      case errc::kConflict:
        return "conflict with a concurrent change";
      case errc::kUnavailable:
        return "service unavailable";
      case errc::kTimeout:
        return "timed out";
      case errc::kOutcomeUnknown:
        return "outcome unknown";
      case errc::kTooLarge:
        return "too large";
      case errc::kSystem:
        return "system error";
    }
    return "unknown error";
  }
};

}  // namespace

const std::error_category& BaseCategory() {
  static const base_category kCategory;
  return kCategory;
}

std::error_code make_error_code(errc code) {
  return {static_cast<int>(code), BaseCategory()};
}

std::string error::ToString() const {
  if (detail.empty())
    return code.message();
  return detail + ": " + code.message();
}

error MakeError(std::error_code code, std::string_view detail) {
  return error{code, std::string(detail)};
}

void throw_exception_from_error(const error& failure,
                                const boost::source_location& /*location*/) {
  throw std::system_error(failure.code, failure.detail);
}

}  // namespace egretrack
