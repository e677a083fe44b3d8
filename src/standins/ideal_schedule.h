#ifndef EGRETRACK_STANDINS_IDEAL_SCHEDULE_H_
#define EGRETRACK_STANDINS_IDEAL_SCHEDULE_H_

#include <optional>
#include <span>
#include <vector>

#include "egretrack/base/time.h"
#include "standins/workload.h"

namespace egretrack::standins {

// When each job would end if one queue held all tasks, knew every run time and
// speed, and cost no time: earliest deadline first, the fastest free slot
// first. A task that cannot end by its deadline takes no slot. Empty for a job
// that does not end by its deadline or is cancelled before its end.
// `speeds` has one element per slot.
std::vector<std::optional<microseconds>> IdealEnds(
    std::span<const arrival> arrivals,
    std::span<const double> speeds);

}  // namespace egretrack::standins

#endif  // EGRETRACK_STANDINS_IDEAL_SCHEDULE_H_
