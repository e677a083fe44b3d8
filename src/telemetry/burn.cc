#include "egretrack/telemetry/burn.h"

#include <algorithm>
#include <array>
#include <functional>
#include <map>

namespace egretrack::telemetry {
namespace {

constexpr std::array<seconds, 4> kWindows{seconds(60), seconds(300),
                                          seconds(1800), seconds(3600)};
// Windows end now, with this resolution.
constexpr seconds kCellLength{5};
constexpr std::int64_t kCellsPerMinute = 12;
constexpr std::int64_t kHistoryMinutes = 60;
constexpr std::int64_t kCells = kHistoryMinutes * kCellsPerMinute;
// Until the configuration names the objective of a desk.
constexpr double kDefaultObjective = 0.999;

std::int64_t CellNumber(monotonic_time now) {
  return std::chrono::floor<seconds>(now.time_since_epoch()) / kCellLength;
}

struct counts {
  std::uint64_t requests = 0;
  std::uint64_t missed = 0;
};

double Burn(const counts& total, double objective) {
  if (total.requests == 0)
    return 0;
  const double share =
      static_cast<double>(total.missed) / static_cast<double>(total.requests);
  return share / (1 - objective);
}

// Outcomes of one desk in the last hour.
class desk_counts {
 public:
  explicit desk_counts(std::int64_t first_cell) : first_cell_(first_cell) {}

  void Add(bool on_time, std::int64_t number) {
    cell& current = cells_[static_cast<std::size_t>(number % kCells)];
    if (current.number != number)
      current = {number, {}};
    ++current.total.requests;
    if (!on_time)
      ++current.total.missed;
  }

  // Sum of the `length` cells that end with cell `last`.
  counts Sum(std::int64_t last, std::int64_t length) const {
    counts total;
    for (const cell& one : cells_) {
      if (one.number <= last && one.number > last - length) {
        total.requests += one.total.requests;
        total.missed += one.total.missed;
      }
    }
    return total;
  }

  // Minutes that end now, since the first record.
  std::int64_t Minutes(std::int64_t last) const {
    const std::int64_t cells = last - first_cell_ + 1;
    const std::int64_t minutes =
        (cells + kCellsPerMinute - 1) / kCellsPerMinute;
    return std::clamp<std::int64_t>(minutes, 0, kHistoryMinutes);
  }

 private:
  struct cell {
    std::int64_t number = -1;  // A cell of an older hour is not counted.
    counts total;
  };

  std::int64_t first_cell_;
  std::array<cell, kCells> cells_{};
};

desk_burn ReportDesk(std::string_view name,
                     double objective,
                     const desk_counts& desk,
                     std::int64_t last) {
  desk_burn report;
  report.desk = std::string(name);
  report.objective = objective;
  for (const seconds length : kWindows) {
    const counts total = desk.Sum(last, length / kCellLength);
    report.windows.push_back(
        {length, total.requests, total.missed, Burn(total, objective)});
  }
  for (std::int64_t ago = desk.Minutes(last) - 1; ago >= 0; --ago) {
    const counts minute =
        desk.Sum(last - (ago * kCellsPerMinute), kCellsPerMinute);
    report.history.push_back(Burn(minute, objective));
  }
  return report;
}

class memory_burn_meter final : public burn_meter {
 public:
  void SetObjective(std::string_view desk, double objective) override {
    objectives_.insert_or_assign(std::string(desk), objective);
  }

  void Record(std::string_view desk,
              bool on_time,
              monotonic_time now) override {
    const std::int64_t number = CellNumber(now);
    auto found = desks_.find(desk);
    if (found == desks_.end())
      found = desks_.emplace(desk, desk_counts(number)).first;
    found->second.Add(on_time, number);
  }

  burn_report Report(monotonic_time now) override {
    burn_report report;
    for (const auto& [name, desk] : desks_) {
      report.desks.push_back(
          ReportDesk(name, Objective(name), desk, CellNumber(now)));
    }
    return report;
  }

 private:
  double Objective(std::string_view desk) const {
    const auto found = objectives_.find(desk);
    return found == objectives_.end() ? kDefaultObjective : found->second;
  }

  std::map<std::string, double, std::less<>> objectives_;
  std::map<std::string, desk_counts, std::less<>> desks_;
};

}  // namespace

std::unique_ptr<burn_meter> burn_meter::Create() {
  return std::make_unique<memory_burn_meter>();
}

}  // namespace egretrack::telemetry
