#ifndef EGRETRACK_BASE_TIME_H_
#define EGRETRACK_BASE_TIME_H_

#include <chrono>
#include <cstdint>

namespace egretrack {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Monotonic time since the start of this process. Not comparable between
// processes.
struct monotonic_clock {
  using duration = microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<monotonic_clock>;
  static constexpr bool is_steady = true;
  static time_point now();
};

using monotonic_time = monotonic_clock::time_point;

// Multiplies a duration by a factor and truncates it to whole microseconds.
inline microseconds Scale(microseconds time, double factor) {
  return microseconds(static_cast<microseconds::rep>(
      static_cast<double>(time.count()) * factor));
}

// Wall time in microseconds since the Unix epoch; only for shifts, logs and
// expiry of rows in the table service.
using wall_time =
    std::chrono::time_point<std::chrono::system_clock, microseconds>;
wall_time WallNow();

}  // namespace egretrack

#endif  // EGRETRACK_BASE_TIME_H_
