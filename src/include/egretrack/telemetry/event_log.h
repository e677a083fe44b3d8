#ifndef EGRETRACK_TELEMETRY_EVENT_LOG_H_
#define EGRETRACK_TELEMETRY_EVENT_LOG_H_

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>

#include "egretrack/base/event_field.h"
#include "egretrack/base/time.h"
#include "egretrack/telemetry/log.h"

namespace egretrack::telemetry {

// How much one kind of event may write in a second; what is beyond is counted
// and reported.
struct event_rate_limits {
  std::uint32_t lines_per_second = 200;
  // Of events that explain why a request did not succeed.
  std::uint32_t failure_lines_per_second = 1000;
};

// Writes structured events as lines "event=NAME job=ID key=value ...". Owned
// by one thread.
class event_log {
 public:
  event_log(std::string_view part, event_rate_limits limits)
      : log_(part), limits_(limits) {}

  // `job` is empty for an event that concerns no single request.
  void Write(std::string_view event,
             bool explains_failure,
             std::string_view job,
             std::span<const event_field> fields,
             monotonic_time now);

  // Reports what was left out in seconds that have passed.
  void ReportSuppressed(monotonic_time now);

  std::uint64_t suppressed() const { return suppressed_; }

 private:
  struct usage {
    std::uint32_t written = 0;
    std::uint32_t suppressed = 0;
  };

  const logger log_;
  const event_rate_limits limits_;
  std::map<std::string, usage, std::less<>> used_;  // By event, this second.
  monotonic_time second_began_{};
  std::uint64_t suppressed_ = 0;
};

// "event=NAME job=ID key=value ..."; values with spaces are quoted.
std::string FormatEvent(std::string_view event,
                        std::string_view job,
                        std::span<const event_field> fields);

}  // namespace egretrack::telemetry

#endif  // EGRETRACK_TELEMETRY_EVENT_LOG_H_
