#ifndef EGRETRACK_STANDINS_RUN_HISTORY_H_
#define EGRETRACK_STANDINS_RUN_HISTORY_H_

#include <cstddef>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "egretrack/base/time.h"

namespace egretrack::standins {

// What workers ran, and which guarantees were broken by it. Safe from any
// thread.
class run_history {
 public:
  // `task` is the worker's name of the task, which begins with the job's key.
  void RecordStart(std::string_view task, int worker, monotonic_time now);
  void RecordEnd(std::string_view task,
                 int worker,
                 bool done,
                 monotonic_time now);

  // Of a job's tasks.
  std::size_t CountCompletedTasks(std::string_view job_key) const;
  std::size_t CountStartedTasks(std::string_view job_key) const;
  std::size_t CountRuns() const;
  // That the worker has begun.
  std::size_t CountRunsOnWorker(int worker) const;

  void AddViolation(std::string what);
  std::vector<std::string> violations() const;

 private:
  struct task_runs {
    std::vector<int> running;  // Workers; more than one breaks a guarantee.
    std::size_t begun = 0;
    bool done = false;
  };
  static std::string JobOf(std::string_view task);

  mutable std::mutex mutex_;
  std::map<std::string, std::map<std::string, task_runs>, std::less<>>
      jobs_;  // By job key, then by task.
  std::size_t runs_ = 0;
  std::map<int, std::size_t> runs_by_worker_;
  std::vector<std::string> violations_;
};

}  // namespace egretrack::standins

#endif  // EGRETRACK_STANDINS_RUN_HISTORY_H_
