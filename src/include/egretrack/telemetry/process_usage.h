#ifndef EGRETRACK_TELEMETRY_PROCESS_USAGE_H_
#define EGRETRACK_TELEMETRY_PROCESS_USAGE_H_

#include <cstddef>

#include "egretrack/base/time.h"
#include "egretrack/telemetry/metrics.h"

namespace egretrack::telemetry {

// Resource usage of this process.
struct process_usage {
  microseconds cpu_time{0};        // User and system time of all threads.
  std::size_t resident_bytes = 0;  // 0 if it cannot be read.
};

process_usage ReadProcessUsage();

// Sets egretrack_process_processor_microseconds_total and
// egretrack_process_resident_bytes.
void SetProcessUsage(metrics& target);

}  // namespace egretrack::telemetry

#endif  // EGRETRACK_TELEMETRY_PROCESS_USAGE_H_
