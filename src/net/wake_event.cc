#include "net/wake_event.h"

#include <sys/eventfd.h>
#include <unistd.h>

namespace egretrack::net {

wake_event::wake_event() : fd_(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {}

wake_event::~wake_event() {
  if (fd_ >= 0)
    close(fd_);
}

// A failed write means that the counter is at its maximum, and a failed read
// that it is 0; both leave the event as it should be.
void wake_event::Notify() {
  [[maybe_unused]] const int written = eventfd_write(fd_, 1);
}

void wake_event::Clear() {
  eventfd_t value = 0;
  [[maybe_unused]] const int got = eventfd_read(fd_, &value);
}

}  // namespace egretrack::net
