#include "standins/workload.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numbers>

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

  double Normal() {
    return std::sqrt(-2 * std::log(Share())) *
           std::cos(2 * std::numbers::pi * Share());
  }

  std::uint64_t Below(std::uint64_t bound) { return Next() % bound; }

 private:
  std::uint64_t state_;
};

// What one workload draws its jobs from.
struct workload_shape {
  std::string_view name;
  double short_ms = 100;  // Median of the run time.
  double long_ms = 0;
  double long_share = 0;       // Of the jobs.
  double straggler_share = 0;  // Of the tasks; they run longer by the factor.
  double straggler_factor = 20;
  double cancelled_share = 0;  // Of the jobs.
  double crest_factor = 1;     // Arrival rate at the crest to that between.
};

constexpr std::array<workload_shape, 7> kShapes = {{
    {.name = "steady"},
    {.name = "crest", .crest_factor = 6},
    {.name = "stragglers", .straggler_share = 0.01},
    {.name = "mixed", .short_ms = 60, .long_ms = 2000, .long_share = 0.05},
    {.name = "failing-worker"},
    {.name = "wrong-declarations", .long_ms = 1000, .long_share = 0.05},
    {.name = "cancellations", .cancelled_share = 0.3},
}};

constexpr double kSpread = 0.4;  // Of the logarithm of run times.
constexpr std::uint64_t kMaxTasks = 8;
constexpr double kMeanTasks = (1.0 + kMaxTasks) / 2;
constexpr milliseconds kShortDeadline{2000};
constexpr milliseconds kLongDeadline{20000};
constexpr double kCancelMeanMs = 150;
// A crest takes the first quarter of every period.
constexpr double kCrestPeriodSeconds = 4;
constexpr double kCrestShare = 0.25;

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
  // Jobs per second at this time; its mean offers the wanted load.
  double Rate(double time) const {
    const double log_normal_mean = std::exp(kSpread * kSpread / 2);
    const double median = shape_.short_ms * (1 - shape_.long_share) +
                          shape_.long_ms * shape_.long_share;
    const double stretch =
        1 + shape_.straggler_share * (shape_.straggler_factor - 1);
    const double job_seconds =
        median * log_normal_mean * stretch * kMeanTasks / 1000;
    const double mean_rate = options_.load * options_.capacity / job_seconds;
    const double mean_factor =
        shape_.crest_factor * kCrestShare + (1 - kCrestShare);
    const bool crest = std::fmod(time, kCrestPeriodSeconds) <
                       kCrestPeriodSeconds * kCrestShare;
    return mean_rate * (crest ? shape_.crest_factor : 1) / mean_factor;
  }

  arrival MakeJob(double time) {
    const bool is_long = random_.Share() <= shape_.long_share;
    arrival job;
    job.at = microseconds(static_cast<std::int64_t>(time * 1e6));
    job.kind = is_long ? kLongKind : kShortKind;
    job.deadline = is_long ? kLongDeadline : kShortDeadline;
    const std::uint64_t tasks = 1 + random_.Below(kMaxTasks);
    for (std::uint64_t i = 0; i < tasks; ++i)
      job.run_times.push_back(
          MakeRunTime(is_long ? shape_.long_ms : shape_.short_ms));
    if (random_.Share() <= shape_.cancelled_share) {
      job.cancel_at = job.at + microseconds(static_cast<std::int64_t>(
                                   random_.Exponential(kCancelMeanMs) * 1000));
    }
    return job;
  }

  milliseconds MakeRunTime(double median) {
    double time = median * std::exp(kSpread * random_.Normal());
    if (random_.Share() <= shape_.straggler_share)
      time *= shape_.straggler_factor;
    return milliseconds(std::max<std::int64_t>(std::llround(time), 1));
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
