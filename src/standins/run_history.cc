#include "standins/run_history.h"

#include <algorithm>
#include <utility>

namespace egretrack::standins {

std::string run_history::JobKeyOf(std::string_view task) {
  return std::string(task.substr(0, task.find('.')));
}

void run_history::RecordStart(std::string_view task,
                              int worker,
                              monotonic_time now,
                              std::shared_ptr<const lease_end> lease) {
  const std::lock_guard lock(mutex_);
  task_runs& runs = jobs_[JobKeyOf(task)][std::string(task)];
  ++runs.start_count;
  ++run_count_;
  ++runs_by_worker_[worker];
  const auto forbidden = forbidden_from_.find(worker);
  if (forbidden != forbidden_from_.end() && now > forbidden->second) {
    violations_.push_back(
        "task " + std::string(task) + " begins on worker " +
        std::to_string(worker) + " of an evacuated domain, " +
        std::to_string((now - forbidden->second).count() / 1000) +
        " ms after the bound");
  }
  const std::int64_t now_us = now.time_since_epoch().count();
  const auto other = std::ranges::find_if(
      runs.running,
      [now_us](const active_run& run) { return run.lease->load() > now_us; });
  if (other != runs.running.end()) {
    violations_.push_back("task " + std::string(task) + " begins on worker " +
                          std::to_string(worker) + " while it runs on worker " +
                          std::to_string(other->worker) + " at " +
                          std::to_string(now_us / 1000) + " ms");
  }
  runs.running.push_back({worker, std::move(lease)});
}

void run_history::ForbidRuns(int worker, monotonic_time from) {
  const std::lock_guard lock(mutex_);
  forbidden_from_[worker] = from;
}

void run_history::AllowRuns(int worker) {
  const std::lock_guard lock(mutex_);
  forbidden_from_.erase(worker);
}

void run_history::RecordEnd(std::string_view task,
                            int worker,
                            bool done,
                            monotonic_time /*now*/) {
  const std::lock_guard lock(mutex_);
  task_runs& runs = jobs_[JobKeyOf(task)][std::string(task)];
  const auto found =
      std::ranges::find(runs.running, worker, &active_run::worker);
  if (found != runs.running.end())
    runs.running.erase(found);
  runs.done = runs.done || done;
}

std::size_t run_history::CountCompletedTasks(std::string_view job_key) const {
  const std::lock_guard lock(mutex_);
  const auto job = jobs_.find(job_key);
  if (job == jobs_.end())
    return 0;
  return static_cast<std::size_t>(std::ranges::count_if(
      job->second, [](const auto& task) { return task.second.done; }));
}

std::size_t run_history::CountStartedTasks(std::string_view job_key) const {
  const std::lock_guard lock(mutex_);
  const auto job = jobs_.find(job_key);
  return job == jobs_.end() ? 0 : job->second.size();
}

std::size_t run_history::CountRuns() const {
  const std::lock_guard lock(mutex_);
  return run_count_;
}

std::size_t run_history::CountRunsOnWorker(int worker) const {
  const std::lock_guard lock(mutex_);
  const auto found = runs_by_worker_.find(worker);
  return found == runs_by_worker_.end() ? 0 : found->second;
}

void run_history::AddViolation(std::string message) {
  const std::lock_guard lock(mutex_);
  violations_.push_back(std::move(message));
}

std::vector<std::string> run_history::violations() const {
  const std::lock_guard lock(mutex_);
  return violations_;
}

}  // namespace egretrack::standins
