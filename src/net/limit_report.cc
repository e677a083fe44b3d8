#include "egretrack/net/limit_report.h"

namespace egretrack::net {
namespace {

constexpr seconds kReportInterval{10};

}  // namespace

std::vector<limit_change> limit_report::Take(const traffic_guard& guard,
                                             monotonic_time now) {
  std::vector<limit_change> changes;
  if (now < next_report_)
    return changes;
  for (std::size_t index = 0; index < kTrafficLimitCount; ++index) {
    const auto limit = static_cast<traffic_limit>(index);
    const std::uint64_t total = guard.count(limit);
    if (total == reported_[index])
      continue;
    changes.push_back({limit, total - reported_[index], total});
    reported_[index] = total;
  }
  if (!changes.empty())
    next_report_ = now + kReportInterval;
  return changes;
}

}  // namespace egretrack::net
