#include "scheduler/run_time_model.h"

#include <algorithm>
#include <cmath>

namespace egretrack::scheduler {
namespace {

// Estimates are off by about 40 %, so one observation moves the slow factors
// little; a worker's own factor follows within a dozen runs, so that a worker
// that turns slow is noticed within its first seconds.
constexpr double kKindRate = 0.02;
constexpr double kClassRate = 0.05;
constexpr double kWorkerRate = 0.15;
// Bounds what one straggler can teach: a factor of 4.
constexpr double kMaxError = 1.39;
// Bounds a learned factor: a factor of 20.
constexpr double kMaxFactor = 3;

double LogRatio(microseconds ran, microseconds estimate) {
  const auto numerator = std::max<double>(static_cast<double>(ran.count()), 1);
  const auto denominator =
      std::max<double>(static_cast<double>(estimate.count()), 1);
  return std::log(numerator / denominator);
}

}  // namespace

double run_time_model::Get(const factors& from, std::string_view name) {
  const auto found = from.find(name);
  return found == from.end() ? 0 : found->second;
}

void run_time_model::Add(factors& to, std::string_view name, double change) {
  auto found = to.find(name);
  if (found == to.end())
    found = to.emplace(std::string(name), 0.0).first;
  found->second = std::clamp(found->second + change, -kMaxFactor, kMaxFactor);
}

double run_time_model::Sum(std::string_view kind,
                           std::string_view machine_class,
                           std::string_view worker) const {
  return Get(kinds_, kind) + Get(classes_, machine_class) +
         Get(workers_, worker);
}

microseconds run_time_model::Predict(std::string_view kind,
                                     std::string_view machine_class,
                                     std::string_view worker,
                                     microseconds estimate) const {
  const double factor = std::exp(Sum(kind, machine_class, worker));
  return Scale(estimate, factor);
}

void run_time_model::Learn(std::string_view kind,
                           std::string_view machine_class,
                           std::string_view worker,
                           double error) {
  const double bounded = std::clamp(error, -kMaxError, kMaxError);
  Add(kinds_, kind, kKindRate * bounded);
  Add(classes_, machine_class, kClassRate * bounded);
  Add(workers_, worker, kWorkerRate * bounded);
}

void run_time_model::Observe(std::string_view kind,
                             std::string_view machine_class,
                             std::string_view worker,
                             microseconds estimate,
                             microseconds ran) {
  Learn(kind, machine_class, worker,
        LogRatio(ran, estimate) - Sum(kind, machine_class, worker));
}

void run_time_model::ObserveAtLeast(std::string_view kind,
                                    std::string_view machine_class,
                                    std::string_view worker,
                                    microseconds estimate,
                                    microseconds ran) {
  const double error =
      LogRatio(ran, estimate) - Sum(kind, machine_class, worker);
  if (error > 0)
    Learn(kind, machine_class, worker, error);
}

void run_time_model::ForgetWorker(std::string_view worker) {
  const auto found = workers_.find(worker);
  if (found != workers_.end())
    workers_.erase(found);
}

}  // namespace egretrack::scheduler
