#include "egretrack/telemetry/process_usage.h"

#include <sys/resource.h>
#include <unistd.h>

#include <cstdint>
#include <fstream>

namespace egretrack::telemetry {
namespace {

microseconds ToMicroseconds(const timeval& value) {
  return seconds(value.tv_sec) + microseconds(value.tv_usec);
}

std::size_t ReadResidentBytes() {
  std::ifstream file("/proc/self/statm");
  std::size_t total_pages = 0;
  std::size_t resident_pages = 0;
  if (!(file >> total_pages >> resident_pages))
    return 0;
  return resident_pages * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

}  // namespace

process_usage ReadProcessUsage() {
  rusage used{};
  getrusage(RUSAGE_SELF, &used);
  return {ToMicroseconds(used.ru_utime) + ToMicroseconds(used.ru_stime),
          ReadResidentBytes()};
}

void SetProcessUsage(metrics& target) {
  const process_usage usage = ReadProcessUsage();
  target.SetCounter("egretrack_process_processor_microseconds_total", "",
                    static_cast<std::uint64_t>(usage.cpu_time.count()));
  target.SetGauge("egretrack_process_resident_bytes", "",
                  static_cast<double>(usage.resident_bytes));
}

}  // namespace egretrack::telemetry
