#ifndef EGRETRACK_SCHEDULER_WORKER_REVISION_H_
#define EGRETRACK_SCHEDULER_WORKER_REVISION_H_

#include <cstdint>
#include <optional>

#include "egretrack/base/ids.h"
#include "egretrack/scheduler/run_supervisor.h"

// Decides whether a dispatch may start on the worker that its agent has by now.
// Load pattern: a worker is replaced while dispatches for it are under way, for
// example to an agent whose heartbeat has not been read yet. docs/design.md
// lists the places that ask.
namespace egretrack::scheduler {

// Numbers what entries choose a worker by: its id and time of birth, desk,
// labels and capacity. Heartbeats carry the number, and a dispatch names the
// one that its entry chose.
class worker_revision {
 public:
  // Numbers of two processes of an agent differ.
  explicit worker_revision(incarnation process)
      : number_(static_cast<std::uint64_t>(process)) {}

  // Returns whether the worker differs from the one described before.
  bool Describe(const worker_report& report);
  std::uint64_t number() const { return number_; }
  // Entries of earlier releases name no worker.
  bool Allows(std::optional<std::uint64_t> chosen) const {
    return !chosen || *chosen == number_;
  }

 private:
  std::uint64_t number_;
  std::optional<worker_report> described_;
};

}  // namespace egretrack::scheduler

#endif  // EGRETRACK_SCHEDULER_WORKER_REVISION_H_
