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
using lowest_first =
    std::priority_queue<Item, std::vector<Item>, std::greater<>>;

struct job_progress {
  std::size_t left = 0;
  microseconds end{0};
  bool missed = false;
};

class schedule {
 public:
  schedule(std::span<const arrival> arrivals, std::span<const double> speeds)
      : arrivals_(arrivals), progress_(arrivals.size()) {
    for (const double speed : speeds)
      free_.push(speed);
  }

  std::vector<std::optional<microseconds>> Run() {
    std::size_t next = 0;
    while (next < arrivals_.size() || !waiting_.empty()) {
      microseconds now = NextFree();
      if (next < arrivals_.size() &&
          (waiting_.empty() || arrivals_[next].at <= now)) {
        now = arrivals_[next].at;
        AddJob(next++);
      }
      ReleaseSlots(now);
      StartTasks(now);
    }
    return Ends();
  }

 private:
  // The next time at which a slot becomes free; the largest when all are.
  microseconds NextFree() const {
    return busy_.empty() ? microseconds::max() : busy_.top().free_at;
  }

  void AddJob(std::size_t job) {
    const arrival& added = arrivals_[job];
    progress_[job].left = added.run_times.size();
    for (std::size_t task = 0; task < added.run_times.size(); ++task)
      waiting_.push({added.at + added.deadline, job, task});
  }

  void ReleaseSlots(microseconds now) {
    while (!busy_.empty() && busy_.top().free_at <= now) {
      free_.push(busy_.top().speed);
      busy_.pop();
    }
  }

  void StartTasks(microseconds now) {
    while (!waiting_.empty() && !free_.empty()) {
      const waiting_task first = waiting_.top();
      waiting_.pop();
      StartTask(first, now);
    }
  }

  void StartTask(const waiting_task& first, microseconds now) {
    const arrival& job = arrivals_[first.job];
    job_progress& progress = progress_[first.job];
    const double speed = free_.top();
    const microseconds run_time(static_cast<std::int64_t>(
        static_cast<double>(microseconds(job.run_times[first.task]).count()) /
        speed));
    const microseconds end = now + run_time;
    if (progress.missed || end > first.deadline ||
        (job.cancel_at && *job.cancel_at <= now)) {
      progress.missed = true;
      return;
    }
    free_.pop();
    busy_.push({end, speed});
    progress.end = std::max(progress.end, end);
    --progress.left;
  }

  std::vector<std::optional<microseconds>> Ends() const {
    std::vector<std::optional<microseconds>> ends(arrivals_.size());
    for (std::size_t job = 0; job < arrivals_.size(); ++job) {
      const job_progress& progress = progress_[job];
      const auto& cancel_at = arrivals_[job].cancel_at;
      const bool cancelled = cancel_at && *cancel_at < progress.end;
      if (!progress.missed && progress.left == 0 && !cancelled)
        ends[job] = progress.end;
    }
    return ends;
  }

  std::span<const arrival> arrivals_;
  std::vector<job_progress> progress_;
  lowest_first<waiting_task> waiting_;
  lowest_first<busy_slot> busy_;
  std::priority_queue<double> free_;
};

}  // namespace

std::vector<std::optional<microseconds>> IdealEnds(
    std::span<const arrival> arrivals,
    std::span<const double> speeds) {
  return schedule(arrivals, speeds).Run();
}

}  // namespace egretrack::standins
