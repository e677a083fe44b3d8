#include "egretrack/base/file.h"

#include <unistd.h>

#include <string>

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

// Guards against a reader that sees half of a file, and against a failure that
// goes unnoticed.
TEST(ReplaceFile, ReplacesTheWholeText) {
  const std::string path =
      testing::TempDir() + "replace_file_test." + std::to_string(getpid());
  ASSERT_TRUE(ReplaceFile(path, "a longer text").has_value());
  ASSERT_TRUE(ReplaceFile(path, "short").has_value());
  EXPECT_EQ(ReadFile(path).value(), "short");
  EXPECT_EQ(ReplaceFile(testing::TempDir() + "none/file", "x").error().code,
            errc::kSystem);
}

// Guards against an operator who is told that a file could not be written, but
// not which one and why.
TEST(ReplaceFile, NamesTheFileAndTheCause) {
  const auto failed = ReplaceFile("/nonexistent/file", "x");
  EXPECT_EQ(failed.error().ToString(),
            "/nonexistent/file: No such file or directory: system error");
}

}  // namespace
}  // namespace egretrack
