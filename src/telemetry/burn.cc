#include "egretrack/telemetry/burn.h"

#include <algorithm>
#include <array>
#include <functional>
#include <map>

namespace egretrack::telemetry {
namespace {

constexpr std::array<seconds, 4> kWindows{seconds(60), seconds(300),
                                          seconds(1800), seconds(3600)};
// Outcomes are counted in buckets of this length, the resolution of windows.
constexpr seconds kBucketLength{5};
constexpr std::int64_t kBucketsPerMinute = 12;
constexpr std::int64_t kHistoryMinutes = 60;
constexpr std::int64_t kBucketCount = kHistoryMinutes * kBucketsPerMinute;
// Used until the configuration sets the objective of a desk.
constexpr double kDefaultObjective = 0.999;

std::int64_t BucketNumber(monotonic_time now) {
  return std::chrono::floor<seconds>(now.time_since_epoch()) / kBucketLength;
}

struct outcome_counts {
  std::uint64_t requests = 0;
  std::uint64_t missed = 0;
};

double BurnRate(const outcome_counts& total, double objective) {
  if (total.requests == 0)
    return 0;
  const double missed_share =
      static_cast<double>(total.missed) / static_cast<double>(total.requests);
  return missed_share / (1 - objective);
}

// Ring buffer with the outcomes of one desk in the last hour.
class desk_history {
 public:
  explicit desk_history(std::int64_t first_bucket)
      : first_bucket_(first_bucket) {}

  void Add(bool on_time, std::int64_t number) {
    bucket& current = buckets_[static_cast<std::size_t>(number % kBucketCount)];
    if (current.number != number)
      current = {number, {}};
    ++current.total.requests;
    if (!on_time)
      ++current.total.missed;
  }

  // Returns the sum of the `length` buckets up to and including `last`.
  outcome_counts Sum(std::int64_t last, std::int64_t length) const {
    outcome_counts total;
    for (const bucket& candidate : buckets_) {
      if (candidate.number <= last && candidate.number > last - length) {
        total.requests += candidate.total.requests;
        total.missed += candidate.total.missed;
      }
    }
    return total;
  }

  // Number of minutes, rounded up, from the first record to the bucket `last`.
  std::int64_t HistoryMinutes(std::int64_t last) const {
    const std::int64_t buckets = last - first_bucket_ + 1;
    const std::int64_t minutes =
        (buckets + kBucketsPerMinute - 1) / kBucketsPerMinute;
    return std::clamp<std::int64_t>(minutes, 0, kHistoryMinutes);
  }

 private:
  struct bucket {
    std::int64_t number = -1;  // Sum() ignores buckets of an earlier hour.
    outcome_counts total;
  };

  std::int64_t first_bucket_;
  std::array<bucket, kBucketCount> buckets_{};
};

desk_burn ReportDesk(std::string_view name,
                     double objective,
                     const desk_history& desk,
                     std::int64_t last) {
  desk_burn report;
  report.desk = std::string(name);
  report.objective = objective;
  for (const seconds length : kWindows) {
    const outcome_counts total = desk.Sum(last, length / kBucketLength);
    report.windows.push_back(
        {length, total.requests, total.missed, BurnRate(total, objective)});
  }
  for (std::int64_t minutes_ago = desk.HistoryMinutes(last) - 1;
       minutes_ago >= 0; --minutes_ago) {
    const outcome_counts minute =
        desk.Sum(last - (minutes_ago * kBucketsPerMinute), kBucketsPerMinute);
    report.history.push_back(BurnRate(minute, objective));
  }
  return report;
}

class in_memory_burn_meter final : public burn_meter {
 public:
  void SetObjective(std::string_view desk, double objective) override {
    objectives_.insert_or_assign(std::string(desk), objective);
  }

  void Record(std::string_view desk,
              bool on_time,
              monotonic_time now) override {
    const std::int64_t number = BucketNumber(now);
    auto found = desks_.find(desk);
    if (found == desks_.end())
      found = desks_.emplace(desk, desk_history(number)).first;
    found->second.Add(on_time, number);
  }

  burn_report Report(monotonic_time now) override {
    burn_report report;
    for (const auto& [name, desk] : desks_) {
      report.desks.push_back(
          ReportDesk(name, Objective(name), desk, BucketNumber(now)));
    }
    return report;
  }

 private:
  double Objective(std::string_view desk) const {
    const auto found = objectives_.find(desk);
    return found == objectives_.end() ? kDefaultObjective : found->second;
  }

  std::map<std::string, double, std::less<>> objectives_;
  std::map<std::string, desk_history, std::less<>> desks_;
};

}  // namespace

std::unique_ptr<burn_meter> burn_meter::Create() {
  return std::make_unique<in_memory_burn_meter>();
}

}  // namespace egretrack::telemetry
