#include "scheduler/tests/locality_replay.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <numeric>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace egretrack::scheduler {
namespace {

constexpr int kRacks = 4;
constexpr int kWorkers = 16;
constexpr int kPlaces = 4;
constexpr int kEntries = 4;
constexpr milliseconds kStep{1};
constexpr milliseconds kDuration{8000};
// A peak of the hot label begins every interval.
constexpr milliseconds kPeakInterval{4000};
constexpr milliseconds kPeakDuration{1000};
constexpr milliseconds kReportInterval{30};
constexpr milliseconds kTransit{2};  // Entry to agent, and back.
constexpr milliseconds kCallerDeadline{1500};
constexpr double kStragglerShare = 0.03;
constexpr double kStragglerFactor = 7;
constexpr double kMeanRunFactor = 1 + kStragglerShare * (kStragglerFactor - 1);
constexpr double kEstimateError = 0.4;
constexpr double kLateWorth = 0.2;
constexpr int kLateTargets = 3;
constexpr milliseconds kBurstWindow{10};

struct replay_task {
  int entry = 0;
  int rack = 0;
  microseconds run{0};
  microseconds estimate{0};
  microseconds target{0};  // All times count from the start of the replay.
  microseconds deadline{0};
  microseconds arrived{0};
  microseconds due{0};  // When the entry places it.
  microseconds wait_used{0};
  double reluctance = 0;
  int avoided = -1;
  // Of the last dispatch.
  locality_decision decision = locality_decision::kFarNow;
  microseconds predicted{0};
  microseconds queued_at{0};
  microseconds return_at{0};
  microseconds started{0};
  microseconds ends{0};
};

struct replay_worker {
  std::vector<replay_task> running;
  std::vector<replay_task> queued;
  // The load report that all entries have.
  int reported_free = kPlaces;
  microseconds reported_wait{0};
  std::array<int, kEntries> unreported{};  // Dispatches since the report.
};

class replay {
 public:
  replay(const replay_load& load,
         const std::function<locality_plan(const locality_options&)>& decide,
         std::uint64_t seed)
      : load_(load), decide_(decide), random_(seed) {
    for (int entry = 0; entry < kEntries; ++entry)
      reluctances_.emplace_back("entry-" + std::to_string(entry));
  }

  replay_result Run() {
    for (; now_ < kDuration; now_ += kStep) {
      Arrive();
      PlaceDueTasks();
      for (int worker = 0; worker < kWorkers; ++worker)
        RunWorker(worker);
    }
    CountUnfinished();
    return Summarize();
  }

 private:
  double Uniform() {
    return static_cast<double>(random_() >> 11) / 9007199254740992.0;
  }
  // Approximately normal, with variance 1.
  double Normal() {
    double sum = -6;
    for (int draw = 0; draw < 12; ++draw)
      sum += Uniform();
    return sum;
  }

  void Arrive() {
    for (int rack = 0; rack < kRacks; ++rack) {
      const bool peak = now_ % kPeakInterval < kPeakDuration;
      const double hot = peak
                             ? load_.hot_rack_peak.value_or(load_.hot_rack_load)
                             : load_.hot_rack_load;
      const double load = rack == 0 ? hot : load_.other_load;
      const double places = kPlaces * kWorkers / kRacks;
      const double mean =
          load * places * static_cast<double>(kStep.count()) /
          (static_cast<double>(load_.run.count()) * kMeanRunFactor);
      pending_[rack] += mean * -std::log(1 - Uniform());
      for (; pending_[rack] >= load_.tasks_per_job;
           pending_[rack] -= load_.tasks_per_job) {
        const int entry = static_cast<int>(random_() % kEntries);
        for (int task = 0; task < load_.tasks_per_job; ++task)
          AddTask(rack, entry);
      }
    }
  }

  void AddTask(int rack, int entry) {
    replay_task task;
    task.entry = entry;
    task.rack = rack;
    task.estimate = Scale(load_.run, std::exp(kEstimateError * Normal()));
    task.run = Uniform() < kStragglerShare ? Scale(load_.run, kStragglerFactor)
                                           : microseconds(load_.run);
    task.arrived = now_;
    task.target = now_ + Scale(load_.run, 1.6) + milliseconds(60);
    task.deadline = now_ + kCallerDeadline;
    task.due = now_;
    task.reluctance = reluctances_[task.entry].Next();
    waiting_.push_back(task);
    ++tasks_;
  }

  microseconds PredictWait(const replay_worker& worker,
                           const replay_task& task) const {
    const int unreported = worker.unreported[task.entry];
    const int free = worker.reported_free - unreported;
    if (free >= 1)
      return microseconds(0);
    return worker.reported_wait +
           task.estimate * std::min(unreported, 1 - free) / kPlaces;
  }

  std::optional<placement_candidate> Choose(const replay_task& task,
                                            bool far) const {
    std::vector<placement_candidate> candidates;
    for (int index = 0; index < kWorkers; ++index) {
      const bool is_far = index % kRacks != task.rack;
      if (is_far != far || index == task.avoided)
        continue;
      const replay_worker& worker = workers_[index];
      placement_candidate candidate;
      candidate.view_index = static_cast<std::size_t>(index);
      candidate.wait = PredictWait(worker, task);
      candidate.run =
          far ? Scale(task.estimate, load_.far_factor) : task.estimate;
      candidate.free_cpu_milli =
          worker.reported_free - worker.unreported[task.entry];
      candidate.far = far;
      candidates.push_back(candidate);
    }
    return ChoosePlacement(candidates);
  }

  void PlaceDueTasks() {
    std::deque<replay_task> due;
    std::swap(due, waiting_);
    for (replay_task& task : due) {
      if (task.due <= now_)
        Place(task);
      else
        waiting_.push_back(task);
    }
  }

  void Place(replay_task& task) {
    locality_options options;
    options.near = *Choose(task, false);
    options.far = *Choose(task, true);
    options.time_to_target = task.target - now_;
    options.time_to_deadline = task.deadline - now_;
    options.wait_used = task.wait_used;
    const auto earliest = [](const placement_candidate& candidate) {
      return candidate.wait + candidate.run / 2;
    };
    // As job_scheduler_impl::CheckCapacity().
    if (task.arrived == now_ &&
        std::min(earliest(options.near), earliest(options.far)) >
            kCallerDeadline) {
      return;
    }
    options.reluctance = task.reluctance;
    const locality_plan plan = decide_(options);
    const bool far = plan.decision == locality_decision::kFarNow;
    const placement_candidate& chosen = far ? options.far : options.near;
    // As QueueBound() of the scheduler.
    microseconds margin = milliseconds(100);
    const microseconds slack =
        options.time_to_target - chosen.run - chosen.wait;
    if (slack > microseconds(0))
      margin = std::clamp<microseconds>(slack / 16, milliseconds(5), margin);
    const microseconds bound = std::max<microseconds>(
        QueueBoundByPlan(plan, 2 * chosen.wait + margin), milliseconds(5));
    task.decision = plan.decision;
    task.predicted = chosen.run;
    task.queued_at = now_ + kTransit;
    task.return_at = task.queued_at + bound;
    far_ += far ? 1 : 0;
    replay_worker& worker = workers_[chosen.view_index];
    ++worker.unreported[task.entry];
    worker.queued.push_back(task);
  }

  void RunWorker(int index) {
    replay_worker& worker = workers_[index];
    std::erase_if(worker.running, [&](const replay_task& task) {
      if (task.ends > now_)
        return false;
      CountEnd(task, task.ends);
      return true;
    });
    StartTasks(worker, index);
    ReturnTasks(worker, index);
    // Workers report at different times.
    if ((now_ / kStep + index) % kReportInterval.count() == 0)
      Report(worker);
  }

  void StartTasks(replay_worker& worker, int index) {
    std::ranges::sort(worker.queued, {}, &replay_task::target);
    for (auto next = worker.queued.begin();
         next != worker.queued.end() &&
         worker.running.size() < static_cast<std::size_t>(kPlaces);) {
      if (next->queued_at > now_) {
        ++next;
        continue;
      }
      const bool far = index % kRacks != next->rack;
      next->started = now_;
      next->ends =
          now_ + (far ? Scale(next->run, load_.far_factor) : next->run);
      worker.running.push_back(*next);
      next = worker.queued.erase(next);
    }
  }

  void ReturnTasks(replay_worker& worker, int index) {
    std::erase_if(worker.queued, [&](replay_task& task) {
      if (now_ >= task.deadline) {
        CountEnd(task, kDuration + kCallerDeadline);
        return true;
      }
      if (now_ < task.return_at)
        return false;
      ++returns_;
      if (index % kRacks == 0 && task.rack == 0)
        hot_returns_.push_back(now_);
      if (task.decision != locality_decision::kFarNow) {
        task.wait_used += now_ - task.queued_at;
      }
      task.avoided = index;
      task.due = now_ + kTransit;
      waiting_.push_back(task);
      return true;
    });
  }

  // As run_table::PredictWait().
  void Report(replay_worker& worker) const {
    const int used =
        static_cast<int>(worker.running.size() + worker.queued.size());
    worker.reported_free = kPlaces - used;
    worker.unreported = {};
    worker.reported_wait = microseconds(0);
    if (worker.reported_free >= 1)
      return;
    std::vector<microseconds> remaining;
    for (const replay_task& task : worker.running) {
      const microseconds age = now_ - task.started;
      remaining.push_back(age < task.predicted ? task.predicted - age
                                               : age / 2);
    }
    std::ranges::sort(remaining);
    const auto missing = static_cast<std::size_t>(1 - worker.reported_free);
    if (missing <= remaining.size()) {
      worker.reported_wait = remaining[missing - 1];
      return;
    }
    worker.reported_wait =
        remaining.empty() ? microseconds(0) : remaining.back();
    for (const replay_task& task : worker.queued)
      worker.reported_wait += task.predicted / kPlaces;
  }

  void CountEnd(const replay_task& task, microseconds end) {
    const microseconds too_late =
        task.arrived + kLateTargets * (task.target - task.arrived);
    if (end <= task.target)
      worth_ += 1;
    else if (end <= std::min(too_late, task.deadline))
      worth_ += kLateWorth;
  }

  // Tasks that the replay does not end are left out.
  void CountUnfinished() {
    tasks_ -= static_cast<int>(waiting_.size());
    for (const replay_worker& worker : workers_)
      tasks_ -= static_cast<int>(worker.running.size() + worker.queued.size());
  }

  replay_result Summarize() const {
    replay_result result;
    result.worth = worth_ / tasks_;
    result.far_share = static_cast<double>(far_) / tasks_;
    result.returns_per_task = static_cast<double>(returns_) / tasks_;
    for (std::size_t first = 0, last = 0; last < hot_returns_.size(); ++last) {
      while (hot_returns_[last] - hot_returns_[first] >= kBurstWindow)
        ++first;
      result.largest_return_burst = std::max(
          result.largest_return_burst, static_cast<int>(last - first + 1));
    }
    return result;
  }

  const replay_load load_;
  const std::function<locality_plan(const locality_options&)>& decide_;
  std::mt19937_64 random_;
  std::vector<reluctance_sequence> reluctances_;
  std::array<replay_worker, kWorkers> workers_;
  std::array<double, kRacks> pending_{};
  std::deque<replay_task> waiting_;
  std::vector<microseconds> hot_returns_;
  microseconds now_{0};
  int tasks_ = 0;
  int far_ = 0;
  int returns_ = 0;
  double worth_ = 0;
};

}  // namespace

replay_result ReplayLocality(
    const replay_load& load,
    const std::function<locality_plan(const locality_options&)>& decide,
    std::uint64_t seed) {
  return replay(load, decide, seed).Run();
}

}  // namespace egretrack::scheduler
