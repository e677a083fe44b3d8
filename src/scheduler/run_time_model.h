#ifndef EGRETRACK_SCHEDULER_RUN_TIME_MODEL_H_
#define EGRETRACK_SCHEDULER_RUN_TIME_MODEL_H_

#include <string>
#include <string_view>
#include <unordered_map>

#include "egretrack/base/time.h"

namespace egretrack::scheduler {

// Learns how run times differ from callers' estimates, by request kind, by
// class of machine and by worker. The three factors multiply, so that what is
// seen of one kind helps to predict another on the same worker.
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
               microseconds ran);

  // A run that was ended after `ran`, so that it takes at least as long.
  void ObserveAtLeast(std::string_view kind,
                      std::string_view machine_class,
                      std::string_view worker,
                      microseconds estimate,
                      microseconds ran);

  // A worker that started anew may be of another speed.
  void ForgetWorker(std::string_view worker);

 private:
  struct text_hash {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const {
      return std::hash<std::string_view>()(text);
    }
  };
  // Logarithm of a factor by name; 0 for an unknown name.
  using factors =
      std::unordered_map<std::string, double, text_hash, std::equal_to<>>;

  static double Get(const factors& from, std::string_view name);
  static void Add(factors& to, std::string_view name, double change);
  double Sum(std::string_view kind,
             std::string_view machine_class,
             std::string_view worker) const;
  void Learn(std::string_view kind,
             std::string_view machine_class,
             std::string_view worker,
             double error);

  factors kinds_;
  factors classes_;
  factors workers_;
};

}  // namespace egretrack::scheduler

#endif  // EGRETRACK_SCHEDULER_RUN_TIME_MODEL_H_
