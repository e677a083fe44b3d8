#include "egretrack/telemetry/process_usage.h"

#include <gtest/gtest.h>

namespace egretrack::telemetry {
namespace {

// Guards against reading the wrong field or unit: a busy loop must increase the
// CPU time, and no process uses less than 100 KB of memory.
TEST(ProcessUsage, ReportsCpuTimeAndMemory) {
  const process_usage before = ReadProcessUsage();
  volatile std::uint64_t sum = 0;
  for (std::uint64_t i = 0; i < 50000000; ++i)
    sum = sum + i;
  const process_usage after = ReadProcessUsage();
  EXPECT_GT(after.cpu_time, before.cpu_time);
  EXPECT_LT(after.cpu_time, seconds(600));
  EXPECT_GT(after.resident_bytes, 100000U);
}

}  // namespace
}  // namespace egretrack::telemetry
