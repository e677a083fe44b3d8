#ifndef EGRETRACK_SCHEDULER_JOB_MEMORY_H_
#define EGRETRACK_SCHEDULER_JOB_MEMORY_H_

#include <cstddef>

#include "egretrack/scheduler/job_scheduler.h"

namespace egretrack::scheduler {

// Memory that a job takes from its acceptance until its answer.
std::size_t EstimateJobBytes(const job_submission& job);

// Bounds the memory of all live jobs of an entry. Handles the load of many jobs
// with as many tasks, steps or dependencies as a job may have: the number of
// jobs alone bounds it at several times the memory of a machine.
class job_memory {
 public:
  explicit job_memory(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  // A single job is admitted whatever its size.
  bool Admits(std::size_t job_bytes) const {
    return used_ == 0 || used_ + job_bytes <= max_bytes_;
  }
  void Add(std::size_t job_bytes) { used_ += job_bytes; }
  void Remove(std::size_t job_bytes) { used_ -= job_bytes; }
  std::size_t used() const { return used_; }

 private:
  const std::size_t max_bytes_;
  std::size_t used_ = 0;
};

}  // namespace egretrack::scheduler

#endif  // EGRETRACK_SCHEDULER_JOB_MEMORY_H_
