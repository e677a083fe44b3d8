#include "egretrack/base/time.h"

namespace egretrack {
namespace {

const std::chrono::steady_clock::time_point kProcessStart =
    std::chrono::steady_clock::now();

}  // namespace

monotonic_clock::time_point monotonic_clock::now() {
  const auto elapsed = std::chrono::steady_clock::now() - kProcessStart;
  return time_point(std::chrono::duration_cast<duration>(elapsed));
}

wall_time WallNow() {
  return std::chrono::time_point_cast<microseconds>(
      std::chrono::system_clock::now());
}

}  // namespace egretrack
