#include "scheduler/job_admission.h"

#include <algorithm>
#include <cmath>

namespace egretrack::scheduler {
namespace {

// A job is refused when not even this share of the predicted run times fits
// before its deadline. Predictions are off by about 40 %.
constexpr double kMinRunTimeShare = 0.5;
// No job has more tasks.
constexpr std::int64_t kMaxSlots = 1200;
// Submissions count for about this time. Wide jobs are a tenth of a kind, so
// that a shorter time would see too few of them.
constexpr seconds kFadingTime{10};
// Largest ratio of the refused share of wide jobs to that of all jobs.
constexpr double kMaxRefusalRatio = 2;
// A wide job that is predicted to end later than this share of the time left is
// refused whatever the ratio: predictions are off by 40 %, so that it would
// hold resources in vain.
constexpr double kHopelessEnd = 1.5;
constexpr double kLargestTenthRank = 0.9;
constexpr double kUpperFifthRank = 0.7;

microseconds ServiceTime(const step_place& place) {
  return std::max(Scale(place.run, kMinRunTimeShare), microseconds(1));
}

// Number of tasks of a step that can have ended at `time`. The free slots run
// one task after another. The others become free from the wait on, at the rate
// at which they turn over.
std::int64_t CountEnded(const step_place& place,
                        microseconds start,
                        microseconds time) {
  const microseconds service = ServiceTime(place);
  const microseconds last_start = time - service;
  const microseconds first_start = std::max(start, place.wait);
  if (last_start < first_start)
    return 0;
  std::int64_t ended = place.free * (1 + (last_start - first_start) / service);
  if (place.slots > place.free) {
    // Slots that become free before the step starts hold one task each by then.
    const microseconds free_from = std::max(place.wait, start - service);
    ended +=
        1 + (place.slots - place.free) * (last_start - free_from) / service;
  }
  return ended;
}

microseconds PredictStepEnd(std::span<const step_place> places,
                            std::uint32_t tasks,
                            microseconds start) {
  if (places.empty())
    return start;
  const auto all_end_by = [&](microseconds time) {
    std::int64_t ended = 0;
    for (const step_place& place : places) {
      ended += CountEnded(place, start, time);
      if (ended >= std::int64_t{tasks})
        return true;
    }
    return false;
  };
  // Each place alone ends all tasks by its bound.
  microseconds first = microseconds::max();
  microseconds high = microseconds::max();
  for (const step_place& place : places) {
    const microseconds first_start = std::max(start, place.wait);
    const microseconds service = ServiceTime(place);
    first = std::min(first, first_start + service);
    high = std::min(high, first_start + service * (std::int64_t{tasks} + 1));
  }
  // Avoids the search for each of up to 1,200 steps of one task.
  if (tasks == 1 || all_end_by(first))
    return first;
  microseconds low = first;
  while (high - low > microseconds(1)) {
    const microseconds middle = low + (high - low) / 2;
    (all_end_by(middle) ? high : low) = middle;
  }
  return high;
}

microseconds EarliestEnd(const step_place& place) {
  return place.wait + ServiceTime(place);
}

}  // namespace

std::int64_t CountFitting(const resources& available, const resources& need) {
  std::int64_t count = kMaxSlots;
  const auto limit = [&count](std::int64_t has, std::int64_t needs) {
    if (needs > 0)
      count = std::min(count, std::max<std::int64_t>(has, 0) / needs);
  };
  limit(available.cpu_milli, need.cpu_milli);
  limit(available.memory_mb, need.memory_mb);
  limit(available.gpus, need.gpus);
  return count;
}

end_prediction PredictEnd(std::span<const admission_step> steps) {
  struct step_ends {
    microseconds alone{0};
    microseconds narrow{0};
    microseconds whole{0};
  };
  end_prediction prediction;
  std::vector<step_ends> ends;
  microseconds latest_earliest{0};
  for (const admission_step& step : steps) {
    step_ends start;
    for (const std::uint32_t dependency : step.after) {
      start.alone = std::max(start.alone, ends[dependency].alone);
      start.narrow = std::max(start.narrow, ends[dependency].narrow);
      start.whole = std::max(start.whole, ends[dependency].whole);
    }
    step_ends end = start;
    if (!step.places.empty()) {
      end.alone += ServiceTime(std::ranges::min(
          step.places, {},
          [](const step_place& place) { return ServiceTime(place); }));
      end.narrow = PredictStepEnd(step.places, 1, start.narrow);
      end.whole = PredictStepEnd(step.places, step.tasks, start.whole);
      const step_place& earliest =
          *std::ranges::min_element(step.places, {}, EarliestEnd);
      if (EarliestEnd(earliest) > latest_earliest) {
        latest_earliest = EarliestEnd(earliest);
        prediction.earliest = earliest;
      }
    }
    ends.push_back(end);
    prediction.alone = std::max(prediction.alone, end.alone);
    prediction.narrow = std::max(prediction.narrow, end.narrow);
    prediction.whole = std::max(prediction.whole, end.whole);
  }
  return prediction;
}

double job_admission::submission_counts::RefusedShareAfterOneMore() const {
  return (refused + 1) / (submitted + 1);
}

job_admission::size_group job_admission::GroupOf(const kind_history& history,
                                                 std::uint32_t tasks) {
  const std::size_t known = std::min(history.jobs, kRecentJobs);
  if (known == 0)
    return kCommon;
  const auto smaller =
      std::count_if(history.recent.begin(),
                    history.recent.begin() + static_cast<std::ptrdiff_t>(known),
                    [tasks](std::uint32_t other) { return other < tasks; });
  const double rank = static_cast<double>(smaller) / static_cast<double>(known);
  if (rank >= kLargestTenthRank)
    return kLargestTenth;
  return rank >= kUpperFifthRank ? kUpperFifth : kCommon;
}

void job_admission::Fade(kind_history& history, monotonic_time now) {
  const double share = std::exp(
      -std::chrono::duration<double>(now - history.updated) / kFadingTime);
  history.updated = now;
  const auto fade = [share](submission_counts& counts) {
    counts.submitted *= share;
    counts.refused *= share;
  };
  fade(history.all);
  for (submission_counts& counts : history.by_group)
    fade(counts);
}

admission_verdict job_admission::Judge(std::string_view kind,
                                       std::uint32_t tasks,
                                       const end_prediction& prediction,
                                       microseconds time_left,
                                       monotonic_time now) {
  auto found = kinds_.find(kind);
  if (found == kinds_.end())
    found = kinds_.emplace(std::string(kind), kind_history{}).first;
  kind_history& history = found->second;
  Fade(history, now);
  const size_group group = GroupOf(history, tasks);
  history.recent[history.jobs++ % kRecentJobs] = tasks;
  // A job that could not end with free places either says nothing about the
  // load and is not counted.
  if (prediction.alone > time_left)
    return admission_verdict::kDeadlineUnreachable;

  submission_counts& counts = history.by_group[group];
  bool refused = prediction.whole > time_left;
  const bool only_for_width = refused && prediction.narrow <= time_left;
  const bool hopeless = prediction.whole > Scale(time_left, kHopelessEnd);
  if (only_for_width && !hopeless && group != kCommon) {
    refused = counts.RefusedShareAfterOneMore() <=
              kMaxRefusalRatio * history.all.RefusedShareAfterOneMore();
  }
  for (submission_counts* each : {&counts, &history.all}) {
    each->submitted += 1;
    each->refused += refused ? 1 : 0;
  }
  return refused ? admission_verdict::kOverloaded
                 : admission_verdict::kAccepted;
}

}  // namespace egretrack::scheduler
