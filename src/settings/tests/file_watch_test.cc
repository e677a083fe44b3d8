#include "egretrack/settings/file_watch.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <filesystem>
#include <string>

#include "egretrack/base/file.h"

namespace egretrack::settings {
namespace {

class FileWatch : public testing::Test {
 protected:
  void SetUp() override { Write("a = 1\n"); }
  void TearDown() override { std::filesystem::remove(path_); }

  void Write(std::string_view text) {
    ASSERT_TRUE(ReplaceFile(path_, std::string(text)));
  }

  const std::string path_ = testing::TempDir() + "file_watch_test.toml";
};

// Guards against changed settings that are not detected without a signal, or
// that are reported again on each check.
TEST_F(FileWatch, ReportsAChangeOnce) {
  file_watch watch(path_);
  EXPECT_FALSE(watch.CheckForChange());
  Write("a = 2\n");
  EXPECT_TRUE(watch.CheckForChange());
  EXPECT_FALSE(watch.CheckForChange());
}

// Guards against a reload while the file is being replaced and does not exist.
TEST_F(FileWatch, IgnoresAMissingFile) {
  file_watch watch(path_);
  std::filesystem::remove(path_);
  EXPECT_FALSE(watch.CheckForChange());
  Write("a = 1\n");
  EXPECT_FALSE(watch.CheckForChange());
}

}  // namespace
}  // namespace egretrack::settings
