#ifndef EGRETRACK_SCHEDULER_DOMAIN_RETURN_H_
#define EGRETRACK_SCHEDULER_DOMAIN_RETURN_H_

#include <cstddef>
#include <cstdint>

#include "egretrack/base/time.h"

// Load pattern: a failure domain returns to service, and at the same moment
// every entry sees its workers as free. Tasks of jobs that have begun wait for
// them at each entry, and each entry alone could fill them, so that the agents
// would get as many times their capacity as there are entries.
namespace egretrack::scheduler {

// A worker of a domain that has returned, as one entry sees it.
struct returned_worker {
  microseconds since_return{0};
  std::int64_t reported_free_cpu = 0;
  std::int64_t unacknowledged_cpu = 0;  // Of this entry's dispatches.
  std::size_t entries = 1;              // That dispatch to the worker.
};

// Whether the entry may dispatch a task that needs `cpu` to the worker now.
// Shortly after the return, the dispatches that no load report includes yet may
// take the entry's share of the free CPU; a single one is always allowed.
bool MayDispatchAfterReturn(const returned_worker& worker, std::int64_t cpu);

}  // namespace egretrack::scheduler

#endif  // EGRETRACK_SCHEDULER_DOMAIN_RETURN_H_
