#include "egretrack/base/time.h"

#include <ctime>

namespace egretrack {
namespace {

constexpr std::int64_t kMicrosecondsPerSecond = 1'000'000;
constexpr std::int64_t kNanosecondsPerMicrosecond = 1000;

// CLOCK_BOOTTIME advances while the machine is suspended, so that deadlines and
// leases expire during a suspension as they do on other machines.
microseconds BootTime() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return microseconds(now.tv_sec * kMicrosecondsPerSecond +
                      now.tv_nsec / kNanosecondsPerMicrosecond);
}

const microseconds kProcessStart = BootTime();

}  // namespace

monotonic_clock::time_point monotonic_clock::now() {
  return time_point(BootTime() - kProcessStart);
}

wall_time WallNow() {
  return std::chrono::time_point_cast<microseconds>(
      std::chrono::system_clock::now());
}

}  // namespace egretrack
