#ifndef EGRETRACK_SCHEDULER_RUN_TIME_MODEL_H_
#define EGRETRACK_SCHEDULER_RUN_TIME_MODEL_H_

#include <string>
#include <string_view>
#include <unordered_map>

#include "egretrack/base/time.h"

namespace egretrack::scheduler {

// Learns the ratio of run times to callers' estimates as the product of three
// factors: of the request kind, the machine class and the worker. Runs of one
// kind thus also improve the predictions for other kinds on the same worker.
class run_time_model {
 public:
  microseconds Predict(std::string_view kind,
                       std::string_view machine_class,
                       std::string_view worker,
                       microseconds estimate) const;

  void Observe(std::string_view kind,
               std::string_view machine_class,
               std::string_view worker,
               microseconds estimate,
               microseconds run_time);

  // Learns from a run that was stopped after `run_time`, which is a lower bound
  // of its full run time.
  void ObserveLowerBound(std::string_view kind,
                         std::string_view machine_class,
                         std::string_view worker,
                         microseconds estimate,
                         microseconds run_time);

  // Resets the factor of a worker that was replaced and may differ in speed.
  void ResetWorker(std::string_view worker);

 private:
  struct string_hash {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const {
      return std::hash<std::string_view>()(text);
    }
  };
  // Natural logarithm of a factor by name.
  using log_factors =
      std::unordered_map<std::string, double, string_hash, std::equal_to<>>;

  // 0 for an unknown name.
  static double LogFactor(const log_factors& from, std::string_view name);
  static void Adjust(log_factors& to, std::string_view name, double change);
  double SumLogFactors(std::string_view kind,
                       std::string_view machine_class,
                       std::string_view worker) const;
  void Update(std::string_view kind,
              std::string_view machine_class,
              std::string_view worker,
              double error);

  log_factors kinds_;
  log_factors classes_;
  log_factors workers_;
};

}  // namespace egretrack::scheduler

#endif  // EGRETRACK_SCHEDULER_RUN_TIME_MODEL_H_
