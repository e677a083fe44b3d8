#include "scheduler/locality_model.h"

#include <algorithm>
#include <cmath>

namespace egretrack::scheduler {
namespace {

// Entry of factors_by_class for all machine classes of a kind.
constexpr std::string_view kAllClasses;
// The first guess counts as much as this number of runs, so that a wrong
// setting is replaced within a dozen runs.
constexpr double kFirstGuessWeight = 4;
// Callers' estimates are off by about 40 %. The factor thus averages over some
// 20 runs, and still follows a change.
constexpr double kMinLearningRate = 0.05;
// Limits the effect of one straggler: a factor of 4.
constexpr double kMaxLogError = 1.39;
// Limits a learned factor to 20.
constexpr double kMaxLogFactor = 3;

double LogRatio(microseconds run_time, microseconds near_run_time) {
  const auto far = std::max<double>(static_cast<double>(run_time.count()), 1);
  const auto near =
      std::max<double>(static_cast<double>(near_run_time.count()), 1);
  return std::log(far / near);
}

}  // namespace

locality_model::locality_model(double first_guess)
    : first_log_factor_(std::log(std::max(first_guess, 1.0))) {}

const locality_model::learned_factor* locality_model::Find(
    std::string_view kind,
    std::string_view machine_class) const {
  const auto classes = kinds_.find(kind);
  if (classes == kinds_.end())
    return nullptr;
  const auto found = classes->second.find(machine_class);
  return found == classes->second.end() ? nullptr : &found->second;
}

// A new entry begins with the factor that was used for it so far.
locality_model::learned_factor& locality_model::FindOrAdd(
    std::string_view kind,
    std::string_view machine_class) {
  auto classes = kinds_.find(kind);
  if (classes == kinds_.end())
    classes = kinds_.emplace(std::string(kind), factors_by_class()).first;
  auto found = classes->second.find(machine_class);
  if (found == classes->second.end()) {
    const learned_factor* of_kind = Find(kind, kAllClasses);
    const double start =
        of_kind != nullptr ? of_kind->log_factor : first_log_factor_;
    found = classes->second
                .emplace(std::string(machine_class), learned_factor{start, 0})
                .first;
  }
  return found->second;
}

double locality_model::FarFactor(std::string_view kind,
                                 std::string_view machine_class) const {
  const learned_factor* found = Find(kind, machine_class);
  if (found == nullptr)
    found = Find(kind, kAllClasses);
  return std::exp(found != nullptr ? found->log_factor : first_log_factor_);
}

void locality_model::ObserveFarRun(std::string_view kind,
                                   std::string_view machine_class,
                                   microseconds near_run_time,
                                   microseconds run_time) {
  const double ratio = LogRatio(run_time, near_run_time);
  const auto learn = [ratio](learned_factor& factor) {
    const double rate =
        std::max(1 / (kFirstGuessWeight + ++factor.runs), kMinLearningRate);
    const double error =
        std::clamp(ratio - factor.log_factor, -kMaxLogError, kMaxLogError);
    // A run is never predicted to be shorter far from the data.
    factor.log_factor =
        std::clamp(factor.log_factor + rate * error, 0.0, kMaxLogFactor);
  };
  if (machine_class != kAllClasses)
    learn(FindOrAdd(kind, machine_class));
  learn(FindOrAdd(kind, kAllClasses));
}

void locality_model::ObserveFarLowerBound(std::string_view kind,
                                          std::string_view machine_class,
                                          microseconds near_run_time,
                                          microseconds run_time) {
  if (LogRatio(run_time, near_run_time) >
      std::log(FarFactor(kind, machine_class))) {
    ObserveFarRun(kind, machine_class, near_run_time, run_time);
  }
}

}  // namespace egretrack::scheduler
