#ifndef EGRETRACK_STANDINS_IDEAL_SCHEDULE_H_
#define EGRETRACK_STANDINS_IDEAL_SCHEDULE_H_

#include <optional>
#include <span>
#include <vector>

#include "egretrack/base/time.h"
#include "standins/workload.h"

namespace egretrack::standins {

// Returns when each job would end under an ideal scheduler, the reference for
// measured results. It has one queue for all tasks, knows every run time and
// speed, and has no overhead. It assigns the task with the earliest deadline to
// the fastest free slot, and skips tasks that cannot end by their deadline. The
// element is empty for a job that misses its deadline or is cancelled before
// its end. `speeds` has one element per slot.
std::vector<std::optional<microseconds>> IdealEndTimes(
    std::span<const arrival> arrivals,
    std::span<const double> speeds);

}  // namespace egretrack::standins

#endif  // EGRETRACK_STANDINS_IDEAL_SCHEDULE_H_
