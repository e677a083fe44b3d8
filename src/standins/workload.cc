#include "standins/workload.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace egretrack::standins {
namespace {

constexpr double kUnit = 1.0 / 9007199254740992.0;  // 2^-53

// The distributions of <random> differ between libraries; these do not, so
// that a seed names the same load everywhere.
class random_source {
 public:
  explicit random_source(std::uint64_t seed) : state_(seed) {}

  // SplitMix64.
  std::uint64_t Next() {
    state_ += 0x9e3779b97f4a7c15U;
    std::uint64_t z = state_;
    z = (z ^ (z >> 30U)) * 0xbf58476d1ce4e5b9U;
    z = (z ^ (z >> 27U)) * 0x94d049bb133111ebU;
    return z ^ (z >> 31U);
  }

  // In (0, 1].
  double Share() { return (static_cast<double>(Next() >> 11U) + 1) * kUnit; }

  double Exponential(double mean) { return -std::log(Share()) * mean; }

  std::uint64_t Below(std::uint64_t bound) { return Next() % bound; }

 private:
  std::uint64_t state_;
};

// What the jobs of one kind look like.
struct job_shape {
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

// What one workload draws its jobs from.
struct workload_shape {
  std::string_view name;
  job_shape short_work;
  job_shape long_work = {};
  double long_share = 0;       // Of the jobs.
  double straggler_share = 0;  // Of the tasks; they run longer by the factor.
  double straggler_factor = 20;
  double crest_factor = 1;     // Arrival rate at the crest to that before it.
  double cancelled_share = 0;  // Of the recent jobs, in each wave.
};

constexpr job_shape kSmallJobs = {.max_tasks = 20,
                                  .max_ms = 500,
                                  .deadline = milliseconds(3000)};

constexpr std::array<workload_shape, 7> kShapes = {{
    {.name = "steady",
     .short_work = {.min_tasks = 10,
                    .max_tasks = 200,
                    .deadline = milliseconds(8000)}},
    {.name = "crest", .short_work = kSmallJobs, .crest_factor = 4},
    {.name = "stragglers",
     .short_work = {.max_tasks = 20, .deadline = milliseconds(30000)},
     .straggler_share = 0.05},
    // Single requests next to checks that take seconds; half of the work each.
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

// A crest begins after the first quarter of a period and takes half of it.
constexpr double kPeriodSeconds = 20;
constexpr double kCrestBegin = 5;
constexpr double kCrestEnd = 15;
// A wave cancels jobs of the last two seconds, at the end of every five.
constexpr double kWavePeriodSeconds = 5;
constexpr double kWaveReachSeconds = 2;

bool IsCrest(double time) {
  const double phase = std::fmod(time, kPeriodSeconds);
  return phase >= kCrestBegin && phase < kCrestEnd;
}

microseconds ToTime(double at_seconds) {
  return microseconds(static_cast<std::int64_t>(at_seconds * 1e6));
}

class generator {
 public:
  generator(const workload_shape& shape, const workload_options& options)
      : shape_(shape), options_(options), random_(options.seed) {}

  std::vector<arrival> Make() {
    const double end = static_cast<double>(options_.duration.count());
    std::vector<arrival> arrivals;
    double time = 0;
    while ((time += random_.Exponential(1 / Rate(time))) < end)
      arrivals.push_back(MakeJob(time));
    return arrivals;
  }

 private:
  // Jobs per second at this time; between crests it offers the wanted load.
  double Rate(double time) const {
    const double stretch =
        1 + shape_.straggler_share * (shape_.straggler_factor - 1);
    const double job_ms =
        shape_.short_work.MeanWorkMs() * (1 - shape_.long_share) +
        shape_.long_work.MeanWorkMs() * shape_.long_share;
    const double rate =
        options_.load * options_.capacity * 1000 / (job_ms * stretch);
    return rate * (IsCrest(time) ? shape_.crest_factor : 1);
  }

  arrival MakeJob(double time) {
    const bool is_long = random_.Share() <= shape_.long_share;
    const job_shape& shape = is_long ? shape_.long_work : shape_.short_work;
    arrival job;
    job.at = ToTime(time);
    job.kind = is_long ? kLongKind : kShortKind;
    job.deadline = shape.deadline;
    const std::uint64_t tasks =
        shape.min_tasks + random_.Below(shape.max_tasks - shape.min_tasks + 1);
    for (std::uint64_t i = 0; i < tasks; ++i)
      job.run_times.push_back(MakeRunTime(shape));
    const double wave =
        (std::floor(time / kWavePeriodSeconds) + 1) * kWavePeriodSeconds;
    if (wave - time <= kWaveReachSeconds &&
        random_.Share() <= shape_.cancelled_share) {
      job.cancel_at = ToTime(wave);
    }
    return job;
  }

  milliseconds MakeRunTime(const job_shape& shape) {
    double time =
        shape.min_ms * std::pow(shape.max_ms / shape.min_ms, random_.Share());
    if (random_.Share() <= shape_.straggler_share)
      time *= shape_.straggler_factor;
    return milliseconds(std::llround(time));
  }

  const workload_shape& shape_;
  const workload_options& options_;
  random_source random_;
};

}  // namespace

result<std::vector<arrival>> MakeWorkload(std::string_view name,
                                          const workload_options& options) {
  const auto* shape = std::find_if(
      kShapes.begin(), kShapes.end(),
      [name](const workload_shape& known) { return known.name == name; });
  if (shape == kShapes.end())
    return MakeError(errc::kNotFound, "workload " + std::string(name));
  return generator(*shape, options).Make();
}

}  // namespace egretrack::standins
