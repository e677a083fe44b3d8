#include "egretrack/telemetry/log.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <string>
#include <system_error>

#include <fcntl.h>
#include <unistd.h>

#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loglevel.h>

#include "telemetry/batch_appender.h"

namespace egretrack::telemetry {
namespace {

// UTC time with milliseconds, level, logger name, message.
constexpr const char* kPattern = "%d{%Y-%m-%dT%H:%M:%S.%q}Z %-5p %c: %m%n";

constexpr mode_t kLogFileMode = 0644;

struct level_name {
  std::string_view name;
  log4cplus::LogLevel level;
};
constexpr std::array<level_name, 6> kLevels{{
    {"trace", log4cplus::TRACE_LOG_LEVEL},
    {"debug", log4cplus::DEBUG_LOG_LEVEL},
    {"info", log4cplus::INFO_LOG_LEVEL},
    {"warn", log4cplus::WARN_LOG_LEVEL},
    {"error", log4cplus::ERROR_LOG_LEVEL},
    {"off", log4cplus::OFF_LOG_LEVEL},
}};

// Initializes log4cplus until the process ends. The root level is off until
// StartLogging() is called, so that log4cplus does not warn about missing
// appenders.
void Initialize() {
  static const log4cplus::Initializer kLibrary;
  static const bool kIsOff = [] {
    log4cplus::Logger::getRoot().setLogLevel(log4cplus::OFF_LOG_LEVEL);
    return true;
  }();
  static_cast<void>(kIsOff);
}

log4cplus::SharedAppenderPtr MakeAppender(int descriptor,
                                          bool owns_descriptor) {
  log4cplus::SharedAppenderPtr appender(
      new batch_appender(descriptor, owns_descriptor));
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(kPattern));
  return appender;
}

// Replaces control characters by spaces, so that no part of a message can be
// taken for another log line.
std::string ToSingleLine(std::string_view message) {
  std::string line(message);
  std::replace_if(
      line.begin(), line.end(),
      [](char c) { return static_cast<unsigned char>(c) < ' '; }, ' ');
  return line;
}

}  // namespace

result<void> StartLogging(std::string_view level, std::string_view file) {
  const auto found =
      std::find_if(kLevels.begin(), kLevels.end(),
                   [&](const level_name& l) { return l.name == level; });
  if (found == kLevels.end()) {
    return MakeError(errc::kInvalidArgument,
                     "unknown log level '" + std::string(level) + "'");
  }
  const std::string path(file);
  int descriptor = STDOUT_FILENO;
  if (!path.empty()) {
    descriptor = ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC,
                        kLogFileMode);
    if (descriptor < 0) {
      const std::error_code cause(errno, std::generic_category());
      return MakeError(errc::kSystem,
                       "log file '" + path + "': " + cause.message());
    }
  }
  Initialize();
  log4cplus::Logger root = log4cplus::Logger::getRoot();
  root.removeAllAppenders();
  root.addAppender(MakeAppender(descriptor, !path.empty()));
  root.setLogLevel(found->level);
  return {};
}

void StopLogging() {
  Initialize();
  log4cplus::Logger root = log4cplus::Logger::getRoot();
  root.setLogLevel(log4cplus::OFF_LOG_LEVEL);
  root.removeAllAppenders();
}

struct logger::impl {
  log4cplus::Logger library_logger;

  void Write(log4cplus::LogLevel level, std::string_view message) const {
    if (library_logger.isEnabledFor(level))
      library_logger.forcedLog(level, ToSingleLine(message));
  }
};

logger::logger(std::string_view name) {
  Initialize();
  impl_ = std::make_unique<impl>(
      impl{log4cplus::Logger::getInstance(std::string(name))});
}

logger::~logger() = default;

void logger::Debug(std::string_view message) const {
  impl_->Write(log4cplus::DEBUG_LOG_LEVEL, message);
}

void logger::Info(std::string_view message) const {
  impl_->Write(log4cplus::INFO_LOG_LEVEL, message);
}

void logger::Warn(std::string_view message) const {
  impl_->Write(log4cplus::WARN_LOG_LEVEL, message);
}

void logger::Error(std::string_view message) const {
  impl_->Write(log4cplus::ERROR_LOG_LEVEL, message);
}

}  // namespace egretrack::telemetry
