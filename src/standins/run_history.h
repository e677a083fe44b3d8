#ifndef EGRETRACK_STANDINS_RUN_HISTORY_H_
#define EGRETRACK_STANDINS_RUN_HISTORY_H_

#include <atomic>
#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "egretrack/base/time.h"

namespace egretrack::standins {

// Records the task runs of all workers and the violated guarantees.
// Thread-safe.
class run_history {
 public:
  // End of the lease of all runs of a worker incarnation, which renews it.
  using lease_end = std::atomic<monotonic_time::rep>;

  // `task` is the name under which the worker runs the task; it begins with the
  // job key. `done` tells that the run completed the task. A run has ended when
  // its lease has, even if its worker records the end later: the worker's timer
  // thread may be delayed on a busy machine.
  void RecordStart(std::string_view task,
                   int worker,
                   monotonic_time now,
                   std::shared_ptr<const lease_end> lease);
  void RecordEnd(std::string_view task,
                 int worker,
                 bool done,
                 monotonic_time now);

  // Number of tasks of the job that were completed or started.
  std::size_t CountCompletedTasks(std::string_view job_key) const;
  std::size_t CountStartedTasks(std::string_view job_key) const;
  // Number of runs that were started by all workers or by one worker.
  std::size_t CountRuns() const;
  std::size_t CountRunsOnWorker(int worker) const;

  // A run that starts on the worker after `from` is a violation until
  // AllowRuns().
  void ForbidRuns(int worker, monotonic_time from);
  void AllowRuns(int worker);

  void AddViolation(std::string message);
  std::vector<std::string> violations() const;

 private:
  struct active_run {
    int worker = 0;
    std::shared_ptr<const lease_end> lease;
  };
  struct task_runs {
    // Runs of the task; more than one under a lease is a violation.
    std::vector<active_run> running;
    std::size_t start_count = 0;
    bool done = false;
  };
  static std::string JobKeyOf(std::string_view task);

  mutable std::mutex mutex_;
  std::map<std::string, std::map<std::string, task_runs>, std::less<>>
      jobs_;  // By job key, then by task.
  std::size_t run_count_ = 0;
  std::map<int, std::size_t> runs_by_worker_;
  std::map<int, monotonic_time> forbidden_from_;  // By worker.
  std::vector<std::string> violations_;
};

}  // namespace egretrack::standins

#endif  // EGRETRACK_STANDINS_RUN_HISTORY_H_
