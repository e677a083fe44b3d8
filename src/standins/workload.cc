#include "standins/workload.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace egretrack::standins {
namespace {

constexpr double kRandomResolution = 1.0 / 9007199254740992.0;  // 2^-53

// The distributions of <random> differ between standard libraries. These do
// not, so that a seed gives the same workload on every platform.
class random_generator {
 public:
  explicit random_generator(std::uint64_t seed) : state_(seed) {}

  // SplitMix64.
  std::uint64_t Next() {
    state_ += 0x9e3779b97f4a7c15U;
    std::uint64_t z = state_;
    z = (z ^ (z >> 30U)) * 0xbf58476d1ce4e5b9U;
    z = (z ^ (z >> 27U)) * 0x94d049bb133111ebU;
    return z ^ (z >> 31U);
  }

  // In (0, 1].
  double Fraction() {
    return (static_cast<double>(Next() >> 11U) + 1) * kRandomResolution;
  }

  double Exponential(double mean) { return -std::log(Fraction()) * mean; }

  std::uint64_t Below(std::uint64_t bound) { return Next() % bound; }

 private:
  std::uint64_t state_;
};

// Distribution of the jobs of one request kind.
struct job_distribution {
  std::uint64_t min_tasks = 1;
  std::uint64_t max_tasks = 1;
  double min_ms = 50;  // Run times are log-uniform.
  double max_ms = 1000;
  milliseconds deadline{2000};

  double MeanTasks() const {
    return static_cast<double>(min_tasks + max_tasks) / 2;
  }
  double MeanMs() const {
    return (max_ms - min_ms) / std::log(max_ms / min_ms);
  }
  double MeanWorkMs() const { return MeanTasks() * MeanMs(); }
};

// Distribution of the jobs of one workload.
struct workload_distribution {
  std::string_view name;
  job_distribution short_work;
  job_distribution long_work = {};
  double long_share = 0;         // Fraction of jobs that are long work.
  double straggler_share = 0;    // Fraction of tasks that are stragglers.
  double straggler_factor = 20;  // Run time multiplier of stragglers.
  double peak_factor = 1;        // Arrival rate multiplier during a load peak.
  double cancelled_share = 0;    // Fraction of recent jobs cancelled per batch.
};

constexpr job_distribution kSmallJobs = {.max_tasks = 20,
                                         .max_ms = 500,
                                         .deadline = milliseconds(3000)};

constexpr std::array<workload_distribution, 7> kWorkloads = {{
    {.name = "steady",
     .short_work = {.min_tasks = 10,
                    .max_tasks = 200,
                    .deadline = milliseconds(8000)}},
    {.name = "crest", .short_work = kSmallJobs, .peak_factor = 4},
    {.name = "stragglers",
     .short_work = {.max_tasks = 20, .deadline = milliseconds(30000)},
     .straggler_share = 0.05},
    // Single requests next to checks that take seconds; each contributes half
    // of the total run time.
    {.name = "mixed",
     .short_work = {.max_ms = 100, .deadline = milliseconds(1000)},
     .long_work = {.min_tasks = 10,
                   .max_tasks = 40,
                   .min_ms = 2000,
                   .max_ms = 5000,
                   .deadline = milliseconds(30000)},
     .long_share = 0.0009},
    {.name = "failing-worker", .short_work = {.max_tasks = 10, .max_ms = 500}},
    {.name = "wrong-declarations",
     .short_work = {.max_tasks = 10,
                    .max_ms = 200,
                    .deadline = milliseconds(3000)},
     .long_work = {.min_tasks = 10,
                   .max_tasks = 40,
                   .min_ms = 1000,
                   .max_ms = 2000,
                   .deadline = milliseconds(30000)},
     .long_share = 0.02},
    {.name = "cancellations",
     .short_work = {.min_tasks = 10,
                    .max_tasks = 50,
                    .deadline = milliseconds(8000)},
     .cancelled_share = 0.5},
}};

// A load peak starts after the first quarter of a period and lasts half of it.
constexpr double kPeakPeriodSeconds = 20;
constexpr double kPeakBeginSeconds = 5;
constexpr double kPeakEndSeconds = 15;
// At the end of every 5 s, a batch cancellation affects jobs that arrived in
// the last 2 s.
constexpr double kCancelPeriodSeconds = 5;
constexpr double kCancelWindowSeconds = 2;

bool IsPeak(double time) {
  const double phase = std::fmod(time, kPeakPeriodSeconds);
  return phase >= kPeakBeginSeconds && phase < kPeakEndSeconds;
}

microseconds ToTime(double at_seconds) {
  return microseconds(static_cast<std::int64_t>(at_seconds * 1e6));
}

class workload_generator {
 public:
  workload_generator(const workload_distribution& distribution,
                     const workload_options& options)
      : workload_(distribution), options_(options), random_(options.seed) {}

  std::vector<arrival> Make() {
    const double end = static_cast<double>(options_.duration.count());
    std::vector<arrival> arrivals;
    double time = 0;
    while ((time += random_.Exponential(1 / Rate(time))) < end)
      arrivals.push_back(MakeJob(time));
    return arrivals;
  }

 private:
  // Returns the job arrival rate per second. Outside of load peaks, it results
  // in the requested load.
  double Rate(double time) const {
    const double mean_slowdown =
        1 + workload_.straggler_share * (workload_.straggler_factor - 1);
    const double job_ms =
        workload_.short_work.MeanWorkMs() * (1 - workload_.long_share) +
        workload_.long_work.MeanWorkMs() * workload_.long_share;
    const double rate =
        options_.load * options_.capacity * 1000 / (job_ms * mean_slowdown);
    return rate * (IsPeak(time) ? workload_.peak_factor : 1);
  }

  arrival MakeJob(double time) {
    const bool is_long = random_.Fraction() <= workload_.long_share;
    const job_distribution& distribution =
        is_long ? workload_.long_work : workload_.short_work;
    arrival job;
    job.at = ToTime(time);
    job.kind = is_long ? kLongKind : kShortKind;
    job.deadline = distribution.deadline;
    const std::uint64_t tasks =
        distribution.min_tasks +
        random_.Below(distribution.max_tasks - distribution.min_tasks + 1);
    for (std::uint64_t i = 0; i < tasks; ++i)
      job.run_times.push_back(MakeRunTime(distribution));
    const double cancel_seconds =
        (std::floor(time / kCancelPeriodSeconds) + 1) * kCancelPeriodSeconds;
    if (cancel_seconds - time <= kCancelWindowSeconds &&
        random_.Fraction() <= workload_.cancelled_share) {
      job.cancel_at = ToTime(cancel_seconds);
    }
    return job;
  }

  milliseconds MakeRunTime(const job_distribution& distribution) {
    double time =
        distribution.min_ms *
        std::pow(distribution.max_ms / distribution.min_ms, random_.Fraction());
    if (random_.Fraction() <= workload_.straggler_share)
      time *= workload_.straggler_factor;
    return milliseconds(std::llround(time));
  }

  const workload_distribution& workload_;
  const workload_options& options_;
  random_generator random_;
};

}  // namespace

result<std::vector<arrival>> MakeWorkload(std::string_view name,
                                          const workload_options& options) {
  const auto* distribution =
      std::find_if(kWorkloads.begin(), kWorkloads.end(),
                   [name](const workload_distribution& candidate) {
                     return candidate.name == name;
                   });
  if (distribution == kWorkloads.end())
    return MakeError(errc::kNotFound, "workload " + std::string(name));
  return workload_generator(*distribution, options).Make();
}

}  // namespace egretrack::standins
