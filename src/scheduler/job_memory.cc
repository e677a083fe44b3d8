#include "scheduler/job_memory.h"

#include "scheduler/scheduled_job.h"

namespace egretrack::scheduler {
namespace {

// The job, its keys in the tables of the scheduler, its timers and the exchange
// of its caller.
constexpr std::size_t kBytesPerJob = 4096;
// The path of a job is kept in its keys.
constexpr std::size_t kCopiesOfPath = 4;
// Room for what the allocator adds to a step and its labels.
constexpr std::size_t kBytesPerStep = sizeof(scheduled_step) + 64;

}  // namespace

std::size_t EstimateJobBytes(const job_submission& job) {
  std::size_t bytes =
      kBytesPerJob + job.spec.size() + kCopiesOfPath * job.path.size();
  for (const job_step& step : job.steps) {
    bytes += kBytesPerStep + step.count * sizeof(scheduled_task) +
             step.after.size() * sizeof(std::uint32_t) +
             step.required_label.size() + step.affinity_label.size();
  }
  return bytes;
}

}  // namespace egretrack::scheduler
