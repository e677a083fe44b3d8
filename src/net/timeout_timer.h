#ifndef EGRETRACK_NET_TIMEOUT_TIMER_H_
#define EGRETRACK_NET_TIMEOUT_TIMER_H_

#include <cstdint>
#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include "egretrack/base/time.h"

namespace egretrack::net {

// Timer for one timeout of a connection at a time. Must be used on the strand
// of the connection.
class timeout_timer {
 public:
  explicit timeout_timer(const boost::asio::any_io_executor& strand)
      : timer_(strand) {}

  // Starts the timeout and cancels a previous one. `expired` must own a
  // reference that keeps the connection, and so this timer, alive.
  template <typename Expired>
  void Start(microseconds duration, Expired expired) {
    // A handler that is already queued when the timer is restarted can't be
    // cancelled. It is recognised by its outdated generation.
    const std::uint64_t generation = ++generation_;
    timer_.expires_after(duration);
    timer_.async_wait([this, generation, expired = std::move(expired)](
                          const boost::system::error_code& failure) mutable {
      if (!failure && generation == generation_)
        expired();
    });
  }

  void Stop() {
    ++generation_;
    timer_.cancel();
  }

 private:
  boost::asio::steady_timer timer_;
  std::uint64_t generation_ = 0;
};

}  // namespace egretrack::net

#endif  // EGRETRACK_NET_TIMEOUT_TIMER_H_
