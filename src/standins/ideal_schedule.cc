#include "standins/ideal_schedule.h"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <queue>
#include <tuple>
#include <utility>

namespace egretrack::standins {
namespace {

struct waiting_task {
  microseconds deadline{0};
  std::size_t job = 0;
  std::size_t task = 0;

  bool operator>(const waiting_task& other) const {
    return std::tie(deadline, job, task) >
           std::tie(other.deadline, other.job, other.task);
  }
};

struct busy_slot {
  microseconds free_at{0};
  double speed = 1;

  bool operator>(const busy_slot& other) const {
    return free_at > other.free_at;
  }
};

template <typename Item>
using min_queue = std::priority_queue<Item, std::vector<Item>, std::greater<>>;

struct job_progress {
  std::size_t tasks_left = 0;
  microseconds end{0};
  bool missed = false;
};

class ideal_scheduler {
 public:
  ideal_scheduler(std::span<const arrival> arrivals,
                  std::span<const double> speeds)
      : arrivals_(arrivals), progress_(arrivals.size()) {
    for (const double speed : speeds)
      free_slot_speeds_.push(speed);
  }

  std::vector<std::optional<microseconds>> Run() {
    std::size_t next = 0;
    while (next < arrivals_.size() || !waiting_tasks_.empty()) {
      microseconds now = NextSlotRelease();
      if (next < arrivals_.size() &&
          (waiting_tasks_.empty() || arrivals_[next].at <= now)) {
        now = arrivals_[next].at;
        AddJob(next++);
      }
      ReleaseSlots(now);
      StartTasks(now);
    }
    return EndTimes();
  }

 private:
  // Returns when the next busy slot becomes free; the maximum if none is busy.
  microseconds NextSlotRelease() const {
    return busy_slots_.empty() ? microseconds::max()
                               : busy_slots_.top().free_at;
  }

  void AddJob(std::size_t job) {
    const arrival& job_arrival = arrivals_[job];
    progress_[job].tasks_left = job_arrival.run_times.size();
    for (std::size_t task = 0; task < job_arrival.run_times.size(); ++task)
      waiting_tasks_.push({job_arrival.at + job_arrival.deadline, job, task});
  }

  void ReleaseSlots(microseconds now) {
    while (!busy_slots_.empty() && busy_slots_.top().free_at <= now) {
      free_slot_speeds_.push(busy_slots_.top().speed);
      busy_slots_.pop();
    }
  }

  void StartTasks(microseconds now) {
    while (!waiting_tasks_.empty() && !free_slot_speeds_.empty()) {
      const waiting_task first = waiting_tasks_.top();
      waiting_tasks_.pop();
      StartTask(first, now);
    }
  }

  void StartTask(const waiting_task& first, microseconds now) {
    const arrival& job = arrivals_[first.job];
    job_progress& progress = progress_[first.job];
    const double speed = free_slot_speeds_.top();
    const microseconds run_time(static_cast<std::int64_t>(
        static_cast<double>(microseconds(job.run_times[first.task]).count()) /
        speed));
    const microseconds end = now + run_time;
    if (progress.missed || end > first.deadline ||
        (job.cancel_at && *job.cancel_at <= now)) {
      progress.missed = true;
      return;
    }
    free_slot_speeds_.pop();
    busy_slots_.push({end, speed});
    progress.end = std::max(progress.end, end);
    --progress.tasks_left;
  }

  std::vector<std::optional<microseconds>> EndTimes() const {
    std::vector<std::optional<microseconds>> ends(arrivals_.size());
    for (std::size_t job = 0; job < arrivals_.size(); ++job) {
      const job_progress& progress = progress_[job];
      const auto& cancel_at = arrivals_[job].cancel_at;
      const bool cancelled = cancel_at && *cancel_at < progress.end;
      if (!progress.missed && progress.tasks_left == 0 && !cancelled)
        ends[job] = progress.end;
    }
    return ends;
  }

  std::span<const arrival> arrivals_;
  std::vector<job_progress> progress_;
  min_queue<waiting_task> waiting_tasks_;
  min_queue<busy_slot> busy_slots_;
  std::priority_queue<double> free_slot_speeds_;
};

}  // namespace

std::vector<std::optional<microseconds>> IdealEndTimes(
    std::span<const arrival> arrivals,
    std::span<const double> speeds) {
  return ideal_scheduler(arrivals, speeds).Run();
}

}  // namespace egretrack::standins
