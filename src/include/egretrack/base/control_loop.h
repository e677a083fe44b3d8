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

// Runs the single control thread of a process. Passes events to the handler in
// batches, and an empty batch when the time that the handler requested comes.
template <typename Event>
class control_loop {
 public:
  // Returns the latest time of the next call.
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

  // Handles the events left in the mailbox, then ends the thread.
  void Stop() {
    events_.Close();
    if (thread_.joinable())
      thread_.join();
  }

 private:
  void Run() {
    std::vector<Event> batch;
    monotonic_time next_call = monotonic_clock::now();
    while (events_.WaitBatch(batch, next_call))
      next_call = on_batch_(std::span<Event>(batch), monotonic_clock::now());
  }

  mailbox<Event>& events_;
  handler on_batch_;
  std::thread thread_;
};

}  // namespace egretrack

#endif  // EGRETRACK_BASE_CONTROL_LOOP_H_
