#ifndef EGRETRACK_NET_FRAME_QUEUE_H_
#define EGRETRACK_NET_FRAME_QUEUE_H_

#include <cstddef>
#include <mutex>
#include <utility>
#include <vector>

#include "net/wake_event.h"

namespace egretrack::net {

// Queue from any number of threads to the thread that owns the sockets, which
// is woken through an eventfd. Items pushed with TryPush() are bounded by their
// total size in bytes.
template <typename Item>
class frame_queue {
 public:
  explicit frame_queue(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  // Drops the item and returns false if the queue would exceed its byte limit.
  bool TryPush(Item item, std::size_t bytes) {
    const std::lock_guard lock(mutex_);
    if (bytes_ + bytes > max_bytes_)
      return false;
    bytes_ += bytes;
    Append(std::move(item));
    return true;
  }

  // Pushes an item that does not count towards the byte limit.
  void Push(Item item) {
    const std::lock_guard lock(mutex_);
    Append(std::move(item));
  }

  // Replaces the content of `items` with all queued items, in order.
  void TakeAll(std::vector<Item>& items) {
    items.clear();
    const std::lock_guard lock(mutex_);
    items.swap(items_);
    bytes_ = 0;
    wake_.Clear();
  }

  // Marks the queue as closed and wakes the owning thread.
  void Close() {
    const std::lock_guard lock(mutex_);
    closed_ = true;
    wake_.Notify();
  }

  bool closed() const {
    const std::lock_guard lock(mutex_);
    return closed_;
  }

  int wake_fd() const { return wake_.fd(); }

 private:
  void Append(Item item) {
    items_.push_back(std::move(item));
    if (items_.size() == 1)
      wake_.Notify();
  }

  const std::size_t max_bytes_;
  mutable std::mutex mutex_;
  std::vector<Item> items_;
  std::size_t bytes_ = 0;
  bool closed_ = false;
  wake_event wake_;
};

}  // namespace egretrack::net

#endif  // EGRETRACK_NET_FRAME_QUEUE_H_
