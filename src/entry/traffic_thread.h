#ifndef EGRETRACK_ENTRY_TRAFFIC_THREAD_H_
#define EGRETRACK_ENTRY_TRAFFIC_THREAD_H_

#include <functional>
#include <memory>

#include "egretrack/base/time.h"

namespace egretrack::entry {

// A thread that runs posted functions one at a time, in the order in which they
// were posted. State that only these functions access needs no lock.
class traffic_thread {
 public:
  using work_item = std::function<void()>;

  traffic_thread();
  ~traffic_thread();
  traffic_thread(const traffic_thread&) = delete;
  traffic_thread& operator=(const traffic_thread&) = delete;

  // Thread-safe. Functions that are posted after Stop() are not run.
  void Post(work_item item);
  void PostAfter(milliseconds delay, work_item item);

  // Discards pending functions and waits for the running one to return.
  void Stop();

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace egretrack::entry

#endif  // EGRETRACK_ENTRY_TRAFFIC_THREAD_H_
