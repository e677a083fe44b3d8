#ifndef EGRETRACK_TELEMETRY_LOG_H_
#define EGRETRACK_TELEMETRY_LOG_H_

#include <cstdint>
#include <memory>
#include <string_view>

#include "egretrack/base/result.h"

// Logging by log4cplus, which stays in the source. Messages are short
// sentences without payloads or secrets.
namespace egretrack::telemetry {

enum class log_level : std::uint8_t {
  kTrace,
  kDebug,
  kInfo,
  kWarn,
  kError,
  kOff
};

// Sets up logging of this process, which never waits for the output. `file`
// empty: standard output.
// Errors: errc::kInvalidArgument for an unknown level.
result<void> StartLogging(std::string_view level, std::string_view file);

// Writes out what is buffered; nothing is logged after it until StartLogging()
// is called again.
void StopLogging();

// Writes with the fixed prefix of one part, for example "entry.http".
class logger {
 public:
  explicit logger(std::string_view part);
  ~logger();
  logger(const logger&) = delete;
  logger& operator=(const logger&) = delete;

  void Debug(std::string_view message) const;
  void Info(std::string_view message) const;
  void Warn(std::string_view message) const;
  void Error(std::string_view message) const;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace egretrack::telemetry

#endif  // EGRETRACK_TELEMETRY_LOG_H_
