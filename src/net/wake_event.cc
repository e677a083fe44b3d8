#include "net/wake_event.h"

#include <sys/eventfd.h>
#include <unistd.h>

namespace egretrack::net {

wake_event::wake_event() : fd_(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {}

wake_event::~wake_event() {
  if (fd_ >= 0)
    close(fd_);
}

// Errors are ignored: a write fails only if the counter is at its maximum (the
// event is set), and a read only if the counter is 0 (the event is clear).
void wake_event::Notify() {
  [[maybe_unused]] const int written = eventfd_write(fd_, 1);
}

void wake_event::Clear() {
  eventfd_t value = 0;
  [[maybe_unused]] const int got = eventfd_read(fd_, &value);
}

}  // namespace egretrack::net
