#include "decision/task_queue.h"

#include <utility>

namespace egretrack::decision {

queue_ticket task_queue::Push(held_task task) {
  const queue_ticket ticket{++last_ticket_};
  tasks_.emplace_hint(tasks_.end(), ticket, std::move(task));
  return ticket;
}

held_task task_queue::PopFront() {
  held_task task = std::move(tasks_.begin()->second);
  tasks_.erase(tasks_.begin());
  return task;
}

}  // namespace egretrack::decision
