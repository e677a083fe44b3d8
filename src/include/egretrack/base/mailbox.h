#ifndef EGRETRACK_BASE_MAILBOX_H_
#define EGRETRACK_BASE_MAILBOX_H_

#include <algorithm>
#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <utility>
#include <vector>

#include "egretrack/base/time.h"

namespace egretrack {

// Bounded queue from any number of traffic threads to one control thread, which
// takes all queued events in one batch.
template <typename Event>
class mailbox {
 public:
  explicit mailbox(std::size_t capacity) : capacity_(capacity) {}

  // Returns false and leaves `event` unmoved if the mailbox is full or closed.
  [[nodiscard]] bool TryPush(Event&& event) { return Push(event, capacity_); }

  // Ignores the capacity, for events that must not be lost, such as task
  // reports. Their number is bounded by the work already accepted. Returns
  // false only if the mailbox is closed.
  bool PushRequired(Event&& event) {
    return Push(event, static_cast<std::size_t>(-1));
  }

  // Waits for an event, `deadline` or Close(), then replaces the content of
  // `batch` with all queued events. May return an empty batch early. Returns
  // false once the mailbox is closed and empty.
  bool WaitBatch(std::vector<Event>& batch, monotonic_time deadline) {
    batch.clear();
    std::unique_lock lock(mutex_);
    const auto wait =
        std::min<microseconds>(deadline - monotonic_clock::now(), kMaxWait);
    if (wait.count() > 0) {
      ready_.wait_for(lock, wait,
                      [this] { return closed_ || !events_.empty(); });
    }
    batch.swap(events_);
    return !closed_ || !batch.empty();
  }

  void Close() {
    const std::lock_guard lock(mutex_);
    closed_ = true;
    ready_.notify_all();
  }

 private:
  // The standard library adds the wait to the current time, which would
  // overflow for a deadline of monotonic_time::max().
  static constexpr microseconds kMaxWait = std::chrono::hours(1);

  bool Push(Event& event, std::size_t limit) {
    const std::lock_guard lock(mutex_);
    if (closed_ || events_.size() >= limit)
      return false;
    events_.push_back(std::move(event));
    if (events_.size() == 1)
      ready_.notify_one();
    return true;
  }

  const std::size_t capacity_;
  std::mutex mutex_;
  std::condition_variable ready_;
  std::vector<Event> events_;
  bool closed_ = false;
};

}  // namespace egretrack

#endif  // EGRETRACK_BASE_MAILBOX_H_
