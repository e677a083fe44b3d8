#ifndef EGRETRACK_BASE_RESOURCES_H_
#define EGRETRACK_BASE_RESOURCES_H_

#include <cstdint>

namespace egretrack {

// Resources of a worker or needs of a task. A difference may be negative.
struct resources {
  std::int64_t cpu_milli = 0;  // Thousandths of a core.
  std::int64_t memory_mb = 0;
  std::int64_t gpus = 0;

  bool Fits(const resources& need) const {
    return need.cpu_milli <= cpu_milli && need.memory_mb <= memory_mb &&
           need.gpus <= gpus;
  }
  resources& operator+=(const resources& other) {
    cpu_milli += other.cpu_milli;
    memory_mb += other.memory_mb;
    gpus += other.gpus;
    return *this;
  }
  resources& operator-=(const resources& other) {
    cpu_milli -= other.cpu_milli;
    memory_mb -= other.memory_mb;
    gpus -= other.gpus;
    return *this;
  }
  friend resources operator+(resources a, const resources& b) { return a += b; }
  friend resources operator-(resources a, const resources& b) { return a -= b; }
  bool operator==(const resources&) const = default;
};

}  // namespace egretrack

#endif  // EGRETRACK_BASE_RESOURCES_H_
