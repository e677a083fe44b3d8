#ifndef EGRETRACK_NET_WAKE_EVENT_H_
#define EGRETRACK_NET_WAKE_EVENT_H_

namespace egretrack::net {

// An eventfd that wakes a thread blocked in a poll.
class wake_event {
 public:
  wake_event();
  ~wake_event();
  wake_event(const wake_event&) = delete;
  wake_event& operator=(const wake_event&) = delete;

  void Notify();
  void Clear();
  // -1 if the eventfd could not be created.
  int fd() const { return fd_; }

 private:
  const int fd_;
};

}  // namespace egretrack::net

#endif  // EGRETRACK_NET_WAKE_EVENT_H_
