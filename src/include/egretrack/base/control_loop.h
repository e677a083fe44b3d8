#ifndef EGRETRACK_BASE_CONTROL_LOOP_H_
#define EGRETRACK_BASE_CONTROL_LOOP_H_

#include <functional>
#include <span>
#include <thread>
#include <utility>
#include <vector>

#include "egretrack/base/mailbox.h"
#include "egretrack/base/time.h"

namespace egretrack {

// Runs the one control thread of a process: hands batches of events to the
// handler, and an empty batch when the time that the handler asked for comes.
template <typename Event>
class control_loop {
 public:
  // Returns when it wants to be called again at the latest.
  using handler =
      std::function<monotonic_time(std::span<Event> batch, monotonic_time now)>;

  control_loop(mailbox<Event>& events, handler on_batch)
      : events_(events), on_batch_(std::move(on_batch)) {}
  ~control_loop() { Stop(); }
  control_loop(const control_loop&) = delete;
  control_loop& operator=(const control_loop&) = delete;

  void Start() {
    thread_ = std::thread([this] { Run(); });
  }

  // Handles what waits in the mailbox, then ends the thread.
  void Stop() {
    events_.Close();
    if (thread_.joinable())
      thread_.join();
  }

 private:
  void Run() {
    std::vector<Event> batch;
    monotonic_time wake = monotonic_clock::now();
    while (events_.WaitBatch(batch, wake))
      wake = on_batch_(std::span<Event>(batch), monotonic_clock::now());
  }

  mailbox<Event>& events_;
  handler on_batch_;
  std::thread thread_;
};

}  // namespace egretrack

#endif  // EGRETRACK_BASE_CONTROL_LOOP_H_
