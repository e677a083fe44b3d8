#include "egretrack/telemetry/log.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
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
    StopLogging();
    std::filesystem::remove(file_);
  }

  // StopLogging() returns only after the writer thread has written all lines.
  std::string StopAndReadLog() const {
    StopLogging();
    return ReadFile(file_).value();
  }

  const std::string file_ =
      testing::TempDir() + "egretrack_log_test." + std::to_string(getpid());
};

// Guards against lines without time, level or logger name, and against a line
// break in a message that forges a second line.
TEST_F(Log, WritesOneLineWithPrefix) {
  ASSERT_TRUE(StartLogging("info", file_).has_value());
  const logger log("entry.http");
  log.Debug("Hidden.");
  log.Warn("Bad request\nfrom a caller.");
  const std::regex line(
      "\\d{4}-\\d\\d-\\d\\dT\\d\\d:\\d\\d:\\d\\d\\.\\d{3}Z WARN  entry\\.http: "
      "Bad request from a caller\\.\n");
  const std::string text = StopAndReadLog();
  EXPECT_TRUE(std::regex_match(text, line)) << text;
}

// Guards against interleaved lines of several threads.
TEST_F(Log, KeepsLinesOfThreadsSeparate) {
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
  const std::string text = StopAndReadLog();
  EXPECT_EQ(std::count(text.begin(), text.end(), '\n'), 400);
  const std::string ending = "INFO  part: Message.\n";
  std::size_t count = 0;
  for (auto at = text.find(ending); at != std::string::npos;
       at = text.find(ending, at + 1)) {
    ++count;
  }
  EXPECT_EQ(count, 400U);
}

// Guards against blocking a thread that logs while the output is a pipe that is
// not read, and against dropping lines without reporting their number.
TEST_F(Log, DropsAndCountsLinesWhenOutputBlocks) {
  ASSERT_EQ(mkfifo(file_.c_str(), 0600), 0);
  // Opened for reading and writing, because opening one end of a FIFO blocks
  // until the other end is open.
  const int reader = open(file_.c_str(), O_RDWR);
  ASSERT_GE(reader, 0);
  ASSERT_TRUE(StartLogging("info", file_).has_value());
  const logger log("part");
  const std::string message(1000, 'x');
  const auto begin = std::chrono::steady_clock::now();
  for (int n = 0; n < 2000; ++n)
    log.Info(message);
  EXPECT_LT(std::chrono::steady_clock::now() - begin, std::chrono::seconds(2));
  std::string text;
  std::thread drain([&] {
    std::array<char, 65536> bytes{};
    while (text.find("event=log_lines_dropped count=") == std::string::npos) {
      const ssize_t size = read(reader, bytes.data(), bytes.size());
      if (size <= 0)
        return;
      text.append(bytes.data(), static_cast<std::size_t>(size));
    }
  });
  drain.join();
  StopLogging();
  close(reader);
  EXPECT_LT(std::count(text.begin(), text.end(), '\n'), 2000);
}

// Guards against starting a process without the log that its settings request.
TEST_F(Log, RejectsUnknownLevelAndUnwritableFile) {
  EXPECT_EQ(StartLogging("loud", "").error().code, errc::kInvalidArgument);
  EXPECT_EQ(StartLogging("info", "/nonexistent/file").error().code,
            errc::kSystem);
}

// Guards against delivering a shutdown signal to a thread of the log library,
// which would terminate the process at once, because the daemon blocks the
// signal only after logging has started. The mask has one bit per signal,
// starting with signal 1; SIGTERM is 15.
TEST_F(Log, LibraryThreadsBlockSignals) {
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
