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

// Rate limits for the lines of one event name. Lines above the limit are
// suppressed, counted and reported.
struct event_rate_limits {
  std::uint32_t lines_per_second = 200;
  // For events that explain why a request failed.
  std::uint32_t failure_lines_per_second = 1000;
};

// Writes structured events as lines "event=NAME job=ID key=value ...". Owned
// by one thread.
class event_log {
 public:
  event_log(std::string_view logger_name, event_rate_limits limits)
      : log_(logger_name), limits_(limits) {}

  // `job` is empty for an event that does not concern a single job.
  void Write(std::string_view event,
             bool explains_failure,
             std::string_view job,
             std::span<const event_field> fields,
             monotonic_time now);

  // Once a second has passed, logs for each event how many lines were
  // suppressed and resets the counts.
  void ReportSuppressed(monotonic_time now);

  std::uint64_t suppressed() const { return suppressed_; }

 private:
  struct line_counts {
    std::uint32_t written = 0;
    std::uint32_t suppressed = 0;
  };

  const logger log_;
  const event_rate_limits limits_;
  // By event name, since window_start_.
  std::map<std::string, line_counts, std::less<>> counts_;
  monotonic_time window_start_{};
  std::uint64_t suppressed_ = 0;
};

// Returns "event=NAME job=ID key=value ...". Values are quoted if they are
// empty or contain white space, a quotation mark or an equals sign.
std::string FormatEvent(std::string_view event,
                        std::string_view job,
                        std::span<const event_field> fields);

}  // namespace egretrack::telemetry

#endif  // EGRETRACK_TELEMETRY_EVENT_LOG_H_
