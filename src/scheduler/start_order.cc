#include "scheduler/start_order.h"

#include <algorithm>

namespace egretrack::scheduler {
namespace {

// Delay of all priorities but 0. With 10 ms a tenth of the tasks of priority 0
// are late at a demand of 1.6 times the resources.
constexpr milliseconds kLowerPriorityDelay{30};
// Orders the lower priorities among each other; there are at most 1,000.
constexpr microseconds kPriorityStep{10};
// Number of jobs over which a length is averaged.
constexpr std::uint32_t kAveragedJobs = 256;
// Bounds what one caller's estimate changes for the others of its priority.
constexpr double kMaxLengthRatio = 4;

microseconds PriorityDelay(std::uint32_t priority) {
  if (priority == 0)
    return microseconds(0);
  return kLowerPriorityDelay + priority * kPriorityStep;
}

}  // namespace

void start_order::Observe(std::uint32_t priority, microseconds length) {
  mean_length& mean = lengths_[priority];
  auto length_us = static_cast<double>(length.count());
  if (mean.jobs > 0)
    length_us = std::min(length_us, kMaxLengthRatio * mean.mean_us + 1);
  mean.jobs = std::min(mean.jobs + 1, kAveragedJobs);
  mean.mean_us += (length_us - mean.mean_us) / mean.jobs;
}

microseconds start_order::ExtraLength(std::uint32_t priority) const {
  const auto found = lengths_.find(priority);
  if (found == lengths_.end())
    return microseconds(0);
  return microseconds(static_cast<microseconds::rep>(
      std::max(found->second.mean_us - lengths_.begin()->second.mean_us, 0.0)));
}

// In the order of targets alone, long jobs start after all short ones that
// arrive until shortly before their target, when they can no longer end by it.
// The targets of different priorities are therefore compared less the length
// of the jobs. Within one priority the order is that of the targets.
monotonic_time start_order::VirtualDeadline(const job_standing& job) const {
  if (job.done_work <= microseconds(0) || job.work <= microseconds(0)) {
    return job.target - ExtraLength(job.priority) + PriorityDelay(job.priority);
  }
  const double done_share = static_cast<double>(job.done_work.count()) /
                            static_cast<double>(job.work.count());
  return job.accepted_at - ExtraLength(job.priority) +
         PriorityDelay(job.priority) -
         Scale(job.target - job.accepted_at, done_share);
}

start_key MakeStartKey(const queued_task& task, monotonic_time now) {
  const bool late = now + task.predicted > task.target;
  return {late, late ? task.start_by : task.virtual_deadline, task.received};
}

}  // namespace egretrack::scheduler
