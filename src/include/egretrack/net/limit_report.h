#ifndef EGRETRACK_NET_LIMIT_REPORT_H_
#define EGRETRACK_NET_LIMIT_REPORT_H_

#include <array>
#include <cstdint>
#include <vector>

#include "egretrack/base/time.h"
#include "egretrack/net/traffic_guard.h"

namespace egretrack::net {

// How often clients exceeded a limit since the last report and in all.
struct limit_change {
  traffic_limit limit{};
  std::uint64_t count = 0;
  std::uint64_t total = 0;
};

// Tells the control thread at most once per interval which limits clients
// exceed, so that a flood of them does not flood the log.
class limit_report {
 public:
  // Returns the changes since the last report that returned any.
  std::vector<limit_change> Take(const traffic_guard& guard,
                                 monotonic_time now);

 private:
  std::array<std::uint64_t, kTrafficLimitCount> reported_{};
  monotonic_time next_report_{};
};

}  // namespace egretrack::net

#endif  // EGRETRACK_NET_LIMIT_REPORT_H_
