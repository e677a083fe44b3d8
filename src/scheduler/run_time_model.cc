#include "scheduler/run_time_model.h"

#include <algorithm>
#include <cmath>

namespace egretrack::scheduler {
namespace {

// Learning rates of the logarithmic factors. Callers' estimates are off by
// about 40 %, so one run changes the factors of kinds and classes only a
// little. A worker's factor adapts within a dozen runs, so that a worker that
// becomes slow is detected within seconds.
constexpr double kKindLearningRate = 0.02;
constexpr double kClassLearningRate = 0.05;
constexpr double kWorkerLearningRate = 0.15;
// Limits the effect of one straggler: a factor of 4.
constexpr double kMaxLogError = 1.39;
// Limits a learned factor to 20.
constexpr double kMaxLogFactor = 3;

double LogRatio(microseconds run_time, microseconds estimate) {
  const auto numerator =
      std::max<double>(static_cast<double>(run_time.count()), 1);
  const auto denominator =
      std::max<double>(static_cast<double>(estimate.count()), 1);
  return std::log(numerator / denominator);
}

}  // namespace

double run_time_model::LogFactor(const log_factors& from,
                                 std::string_view name) {
  const auto found = from.find(name);
  return found == from.end() ? 0 : found->second;
}

void run_time_model::Adjust(log_factors& to,
                            std::string_view name,
                            double change) {
  auto found = to.find(name);
  if (found == to.end())
    found = to.emplace(std::string(name), 0.0).first;
  found->second =
      std::clamp(found->second + change, -kMaxLogFactor, kMaxLogFactor);
}

double run_time_model::SumLogFactors(std::string_view kind,
                                     std::string_view machine_class,
                                     std::string_view worker) const {
  return LogFactor(kinds_, kind) + LogFactor(classes_, machine_class) +
         LogFactor(workers_, worker);
}

microseconds run_time_model::Predict(std::string_view kind,
                                     std::string_view machine_class,
                                     std::string_view worker,
                                     microseconds estimate) const {
  const double factor = std::exp(SumLogFactors(kind, machine_class, worker));
  return Scale(estimate, factor);
}

void run_time_model::Update(std::string_view kind,
                            std::string_view machine_class,
                            std::string_view worker,
                            double error) {
  const double bounded = std::clamp(error, -kMaxLogError, kMaxLogError);
  Adjust(kinds_, kind, kKindLearningRate * bounded);
  Adjust(classes_, machine_class, kClassLearningRate * bounded);
  Adjust(workers_, worker, kWorkerLearningRate * bounded);
}

void run_time_model::Observe(std::string_view kind,
                             std::string_view machine_class,
                             std::string_view worker,
                             microseconds estimate,
                             microseconds run_time) {
  Update(kind, machine_class, worker,
         LogRatio(run_time, estimate) -
             SumLogFactors(kind, machine_class, worker));
}

void run_time_model::ObserveLowerBound(std::string_view kind,
                                       std::string_view machine_class,
                                       std::string_view worker,
                                       microseconds estimate,
                                       microseconds run_time) {
  const double error =
      LogRatio(run_time, estimate) - SumLogFactors(kind, machine_class, worker);
  if (error > 0)
    Update(kind, machine_class, worker, error);
}

void run_time_model::ResetWorker(std::string_view worker) {
  const auto found = workers_.find(worker);
  if (found != workers_.end())
    workers_.erase(found);
}

}  // namespace egretrack::scheduler
