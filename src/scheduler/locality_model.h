#ifndef EGRETRACK_SCHEDULER_LOCALITY_MODEL_H_
#define EGRETRACK_SCHEDULER_LOCALITY_MODEL_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "egretrack/base/time.h"

namespace egretrack::scheduler {

// Learns by which factor tasks run longer on a worker without their affinity
// label, by request kind and machine class. Load pattern: a hot label spills a
// part of its tasks to far workers, whose run times would make these workers
// look slow in the run_time_model.
class locality_model {
 public:
  // `first_guess` is the factor before any far run; at least 1.
  explicit locality_model(double first_guess);

  // At least 1. A machine class without far runs of the kind has the factor of
  // the kind on all classes.
  double FarFactor(std::string_view kind, std::string_view machine_class) const;

  // `near_run_time` is the predicted run time on the same worker if it had the
  // label.
  void ObserveFarRun(std::string_view kind,
                     std::string_view machine_class,
                     microseconds near_run_time,
                     microseconds run_time);
  // Learns from a far run that was stopped after `run_time`.
  void ObserveFarLowerBound(std::string_view kind,
                            std::string_view machine_class,
                            microseconds near_run_time,
                            microseconds run_time);

 private:
  struct learned_factor {
    double log_factor = 0;
    std::uint32_t runs = 0;
  };
  using factors_by_class = std::map<std::string, learned_factor, std::less<>>;

  const learned_factor* Find(std::string_view kind,
                             std::string_view machine_class) const;
  learned_factor& FindOrAdd(std::string_view kind,
                            std::string_view machine_class);

  const double first_log_factor_;
  // By request kind; the class "" stands for all classes.
  std::map<std::string, factors_by_class, std::less<>> kinds_;
};

}  // namespace egretrack::scheduler

#endif  // EGRETRACK_SCHEDULER_LOCALITY_MODEL_H_
