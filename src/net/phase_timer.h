#ifndef EGRETRACK_NET_PHASE_TIMER_H_
#define EGRETRACK_NET_PHASE_TIMER_H_

#include <cstdint>
#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include "egretrack/base/time.h"

namespace egretrack::net {

// Bounds one phase at a time of a connection. Used on the connection's strand.
class phase_timer {
 public:
  explicit phase_timer(const boost::asio::any_io_executor& strand)
      : timer_(strand) {}

  // Replaces what was started before. `expired` keeps the connection alive.
  template <typename Expired>
  void Start(microseconds duration, Expired expired) {
    // An expiry that is already queued when the timer is restarted can't be
    // cancelled; the number tells it apart.
    const std::uint64_t phase = ++phase_;
    timer_.expires_after(duration);
    timer_.async_wait([this, phase, expired = std::move(expired)](
                          const boost::system::error_code& failure) mutable {
      if (!failure && phase == phase_)
        expired();
    });
  }

  void Stop() {
    ++phase_;
    timer_.cancel();
  }

 private:
  boost::asio::steady_timer timer_;
  std::uint64_t phase_ = 0;
};

}  // namespace egretrack::net

#endif  // EGRETRACK_NET_PHASE_TIMER_H_
