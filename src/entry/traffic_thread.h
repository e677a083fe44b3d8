#ifndef EGRETRACK_ENTRY_TRAFFIC_THREAD_H_
#define EGRETRACK_ENTRY_TRAFFIC_THREAD_H_

#include <functional>
#include <memory>

#include "egretrack/base/time.h"

namespace egretrack::entry {

// One traffic thread that runs tasks in the order in which they were posted.
// State that only its tasks touch needs no lock.
class traffic_thread {
 public:
  using task = std::function<void()>;

  traffic_thread();
  ~traffic_thread();
  traffic_thread(const traffic_thread&) = delete;
  traffic_thread& operator=(const traffic_thread&) = delete;

  // Safe from any thread. Tasks that are posted after Stop() never run.
  void Post(task work);
  void PostAfter(milliseconds delay, task work);

  // Runs no further task; returns when the running one has ended.
  void Stop();

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace egretrack::entry

#endif  // EGRETRACK_ENTRY_TRAFFIC_THREAD_H_
