#ifndef EGRETRACK_DECISION_TASK_QUEUE_H_
#define EGRETRACK_DECISION_TASK_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "egretrack/base/ids.h"
#include "egretrack/base/time.h"

namespace egretrack::decision {

// An accepted task that waits for a slot, with the data needed to start it.
struct held_task {
  job_id job;
  task_index task = 0;
  std::string kind;
  std::string payload;
  // Local time before which the task may start.
  monotonic_time start_before{};
};

// Identifies a held task until it leaves the queue.
enum class queue_ticket : std::uint64_t {};

// FIFO queue of accepted tasks that wait for a slot.
class task_queue {
 public:
  queue_ticket Push(held_task task);
  // The queue must not be empty.
  held_task PopFront();
  void Remove(queue_ticket ticket) { tasks_.erase(ticket); }
  bool empty() const { return tasks_.empty(); }
  std::size_t size() const { return tasks_.size(); }

 private:
  std::uint64_t last_ticket_ = 0;
  std::map<queue_ticket, held_task> tasks_;
};

}  // namespace egretrack::decision

#endif  // EGRETRACK_DECISION_TASK_QUEUE_H_
