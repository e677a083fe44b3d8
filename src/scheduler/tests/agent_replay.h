#ifndef EGRETRACK_SCHEDULER_TESTS_AGENT_REPLAY_H_
#define EGRETRACK_SCHEDULER_TESTS_AGENT_REPLAY_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "scheduler/run_table.h"

namespace egretrack::scheduler {

// Tasks that arrive at an agent at an even rate.
struct task_stream {
  double per_second = 0;
  milliseconds run{60};
  milliseconds target{156};
  entry_index entry = 0;
  // Of the first arrival.
  int burst = 1;
};

struct stream_result {
  int sent = 0;
  int on_time = 0;
  int ended = 0;  // By the deadline of the callers.
  double OnTimeShare() const { return static_cast<double>(on_time) / sent; }
  double EndedShare() const { return static_cast<double>(ended) / sent; }
};

// Plays the streams for some seconds on a worker of 64 cores, with tasks of
// 6.7 cores as in deployment A.
class agent_replay {
 public:
  std::vector<stream_result> Play(const std::vector<task_stream>& streams,
                                  milliseconds duration) {
    results_.assign(streams.size(), {});
    for (milliseconds time{0}; time < duration + kDeadline;
         time += milliseconds(1)) {
      now_ = monotonic_time(seconds(100)) + time;
      EndRuns();
      for (std::size_t index = 0; index < streams.size(); ++index) {
        const double due =
            streams[index].per_second *
            static_cast<double>(std::min(time, duration).count()) / 1000;
        while (results_[index].sent < due + streams[index].burst - 1)
          Arrive(streams[index], index);
      }
      StartRuns();
    }
    return results_;
  }

 private:
  static constexpr milliseconds kDeadline{1500};
  static constexpr resources kNeed{6700, 1000, 0};

  void Arrive(const task_stream& stream, std::size_t index) {
    const int number = results_[index].sent++;
    // Within the last millisecond, so that tasks of different streams rarely
    // have equal virtual deadlines.
    const monotonic_time arrival =
        now_ -
        microseconds((number * 617 + static_cast<int>(index) * 331) % 1000);
    agent_run run;
    run.entry = stream.entry;
    run.job = index;
    run.id = {std::to_string(index), 0, static_cast<std::uint32_t>(number), 1};
    run.need = kNeed;
    run.predicted = stream.run;
    run.received = arrival;
    run.target = arrival + stream.target;
    run.virtual_deadline = run.target;
    run.start_by = arrival + kDeadline - Scale(stream.run, 0.5);
    table_.Add(std::move(run));
  }

  void EndRuns() {
    std::vector<std::uint64_t> gone;
    for (const auto& [key, run] : table_.all()) {
      const bool queued = run.lifecycle.phase() == run_phase::kQueued;
      if (!queued && now_ >= run.started + run.predicted) {
        ++results_[run.job].ended;
        results_[run.job].on_time += now_ <= run.target ? 1 : 0;
        gone.push_back(key);
      } else if (queued && now_ > run.start_by) {
        gone.push_back(key);
      }
    }
    for (const std::uint64_t key : gone)
      table_.Erase(key);
  }

  void StartRuns() {
    resources free = kCapacity;
    free -= table_.UsedResources();
    while (auto* next = table_.NextToStart(free, now_)) {
      next->second.lifecycle.Apply(run_event::kStart);
      next->second.started = now_;
      free -= next->second.need;
    }
  }

  static constexpr resources kCapacity{64000, 128000, 0};

  run_table table_;
  monotonic_time now_{};
  std::vector<stream_result> results_;
};

}  // namespace egretrack::scheduler

#endif  // EGRETRACK_SCHEDULER_TESTS_AGENT_REPLAY_H_
