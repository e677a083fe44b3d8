#include "egretrack/decision/outcome.h"

#include <set>

#include <gtest/gtest.h>

namespace egretrack::decision {
namespace {

// Guards against a code without a name or message, or with the name of another
// code.
TEST(JobErrc, EveryCodeHasUniqueName) {
  std::set<std::string_view> names;
  const int last = static_cast<int>(job_errc::kKeyOutcomeUnknown);
  for (int value = 1; value <= last; ++value) {
    const auto code = static_cast<job_errc>(value);
    EXPECT_FALSE(Name(code).empty()) << value;
    EXPECT_NE(make_error_code(code).message(), "unknown job error") << value;
    names.insert(Name(code));
  }
  EXPECT_EQ(names.size(), static_cast<std::size_t>(last));
}

}  // namespace
}  // namespace egretrack::decision
