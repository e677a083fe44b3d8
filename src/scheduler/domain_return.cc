#include "scheduler/domain_return.h"

#include <algorithm>

namespace egretrack::scheduler {
namespace {

// The interval of idle heartbeats, within which every entry hears of the load
// that the others have caused.
constexpr milliseconds kSharingPeriod{1000};

}  // namespace

bool MayDispatchAfterReturn(const returned_worker& worker, std::int64_t cpu) {
  if (worker.since_return >= kSharingPeriod || worker.unacknowledged_cpu == 0)
    return true;
  const auto entries =
      static_cast<std::int64_t>(std::max<std::size_t>(worker.entries, 1));
  return worker.unacknowledged_cpu + cpu <= worker.reported_free_cpu / entries;
}

}  // namespace egretrack::scheduler
