#ifndef EGRETRACK_TELEMETRY_LOG_H_
#define EGRETRACK_TELEMETRY_LOG_H_

#include <cstdint>
#include <memory>
#include <string_view>

#include "egretrack/base/result.h"

// Logging through log4cplus, which is not exposed in this header. Messages are
// short sentences without payloads or secrets.
namespace egretrack::telemetry {

enum class log_level : std::uint8_t {
  kTrace,
  kDebug,
  kInfo,
  kWarn,
  kError,
  kOff
};

// Starts the logging of this process. Threads that log never wait for the
// output. An empty `file` selects standard output. Errors:
// errc::kInvalidArgument for an unknown level, errc::kSystem if the file cannot
// be opened.
result<void> StartLogging(std::string_view level, std::string_view file);

// Writes all buffered lines. Later messages are discarded until StartLogging()
// is called again.
void StopLogging();

// Logs under the name of a component, such as "entry.http".
class logger {
 public:
  explicit logger(std::string_view name);
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
