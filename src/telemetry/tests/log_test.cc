#include "egretrack/telemetry/log.h"

#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <regex>
#include <thread>
#include <vector>

#include <gtest/gtest.h>

#include "egretrack/base/file.h"

namespace egretrack::telemetry {
namespace {

class Log : public testing::Test {
 protected:
  void TearDown() override {
    ASSERT_TRUE(StartLogging("off", "").has_value());
    std::filesystem::remove(file_);
  }

  std::string Written() const { return ReadFile(file_).value(); }

  const std::string file_ =
      testing::TempDir() + "egretrack_log_test." + std::to_string(getpid());
};

// Guards against lines without time, level or part, and against messages that
// forge a line.
TEST_F(Log, WritesOneLineWithPrefix) {
  ASSERT_TRUE(StartLogging("info", file_).has_value());
  const logger log("entry.http");
  log.Debug("Hidden.");
  log.Warn("Bad request\nfrom a caller.");
  const std::regex line(
      "\\d{4}-\\d\\d-\\d\\dT\\d\\d:\\d\\d:\\d\\d\\.\\d{3}Z WARN  entry\\.http: "
      "Bad request from a caller\\.\n");
  EXPECT_TRUE(std::regex_match(Written(), line)) << Written();
}

// Guards against lines that mix when several threads write.
TEST_F(Log, ThreadsDoNotMixLines) {
  ASSERT_TRUE(StartLogging("info", file_).has_value());
  std::vector<std::thread> writers;
  for (int i = 0; i < 4; ++i) {
    writers.emplace_back([] {
      const logger log("part");
      for (int n = 0; n < 100; ++n)
        log.Info("Message.");
    });
  }
  for (auto& writer : writers)
    writer.join();
  const std::string text = Written();
  EXPECT_EQ(std::count(text.begin(), text.end(), '\n'), 400);
  const std::string ending = "INFO  part: Message.\n";
  std::size_t count = 0;
  for (auto at = text.find(ending); at != std::string::npos;
       at = text.find(ending, at + 1)) {
    ++count;
  }
  EXPECT_EQ(count, 400U);
}

// Guards against a process that runs without the log it was told to write.
TEST_F(Log, RefusesWhatItCannotDo) {
  EXPECT_EQ(StartLogging("loud", "").error().code, errc::kInvalidArgument);
  EXPECT_EQ(StartLogging("info", "/nonexistent/file").error().code,
            errc::kSystem);
}

// Guards against threads of the log library that take a shutdown signal, which
// would end the process at once: the daemon blocks it only after logging has
// started. The mask has one bit per signal from 1; SIGTERM is 15.
TEST_F(Log, ThreadsOfTheLibraryTakeNoSignal) {
  ASSERT_TRUE(StartLogging("info", file_).has_value());
  logger("part").Info("Message.");
  const std::regex term_blocked("SigBlk:\t[0-9a-f]{12}[4-7c-f][0-9a-f]{3}\n");
  for (const auto& task :
       std::filesystem::directory_iterator("/proc/self/task")) {
    if (task.path().filename() == std::to_string(gettid()))
      continue;
    const auto status = ReadFile((task.path() / "status").string()).value();
    EXPECT_TRUE(std::regex_search(status, term_blocked)) << status;
  }
}

}  // namespace
}  // namespace egretrack::telemetry
