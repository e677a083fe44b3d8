#ifndef EGRETRACK_TELEMETRY_PROCESS_USAGE_H_
#define EGRETRACK_TELEMETRY_PROCESS_USAGE_H_

#include <cstddef>

#include "egretrack/base/time.h"
#include "egretrack/telemetry/metrics.h"

namespace egretrack::telemetry {

// What this process has used so far.
struct process_usage {
  microseconds cpu_time{0};        // User and system, of all threads.
  std::size_t resident_bytes = 0;  // 0 when the system does not tell.
};

process_usage ReadProcessUsage();

// Sets egretrack_process_processor_microseconds_total and
// egretrack_process_resident_bytes.
void SetProcessUsage(metrics& to);

}  // namespace egretrack::telemetry

#endif  // EGRETRACK_TELEMETRY_PROCESS_USAGE_H_
