#include "egretrack/base/file.h"

#include <unistd.h>

#include <string>

#include <gtest/gtest.h>

namespace egretrack {
namespace {

// Guards against a directory or a missing file being read as an empty file.
TEST(ReadFile, FailsForDirectoryAndMissingFile) {
  EXPECT_EQ(ReadFile("/nonexistent/file").error().code, errc::kNotFound);
  EXPECT_EQ(ReadFile("/").error().code, errc::kSystem);
}

// Guards against reading only the first block of a file.
TEST(ReadFile, ReadsLargerFiles) {
  const auto text = ReadFile("/proc/self/exe");
  ASSERT_TRUE(text.has_value());
  EXPECT_GT(text->size(), 10000U);
}

// Guards against a reader that sees part of a text or remains of the previous
// one, and against a failed write that is not reported.
TEST(ReplaceFile, ReplacesWholeContent) {
  const std::string path =
      testing::TempDir() + "replace_file_test." + std::to_string(getpid());
  ASSERT_TRUE(ReplaceFile(path, "a longer text").has_value());
  ASSERT_TRUE(ReplaceFile(path, "short").has_value());
  EXPECT_EQ(ReadFile(path).value(), "short");
  EXPECT_EQ(ReplaceFile(testing::TempDir() + "none/file", "x").error().code,
            errc::kSystem);
}

// Guards against an error message without the path of the file or the cause of
// the failure.
TEST(ReplaceFile, ErrorNamesFileAndCause) {
  const auto failed = ReplaceFile("/nonexistent/file", "x");
  EXPECT_EQ(failed.error().ToString(),
            "/nonexistent/file: No such file or directory: system error");
}

}  // namespace
}  // namespace egretrack
