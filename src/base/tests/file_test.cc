#include "egretrack/base/file.h"

#include <gtest/gtest.h>

namespace egretrack {
namespace {

// Guards against a folder or a missing file that is taken for an empty file.
TEST(ReadFile, ReportsWhatIsNoFile) {
  EXPECT_EQ(ReadFile("/nonexistent/file").error().code, errc::kNotFound);
  EXPECT_EQ(ReadFile("/").error().code, errc::kSystem);
}

// Guards against files that end after the first block.
TEST(ReadFile, ReadsLargerFiles) {
  const auto text = ReadFile("/proc/self/exe");
  ASSERT_TRUE(text.has_value());
  EXPECT_GT(text->size(), 10000U);
}

}  // namespace
}  // namespace egretrack
