#ifndef EGRETRACK_NET_CONNECTION_POOL_H_
#define EGRETRACK_NET_CONNECTION_POOL_H_

#include <cstddef>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/ip/tcp.hpp>

#include "egretrack/base/time.h"

namespace egretrack::net {

// Idle connections of a client by address. Safe from any thread.
class connection_pool {
 public:
  using socket = boost::asio::ip::tcp::socket;

  explicit connection_pool(std::size_t connections_per_address)
      : limit_(connections_per_address) {}

  // A connection that the other side has not closed, or none.
  std::optional<socket> Acquire(const std::string& address);
  // Closes the connection when there are enough idle ones.
  void Release(const std::string& address, socket connection);

 private:
  struct idle_connection {
    socket connection;
    monotonic_time since;
  };

  const std::size_t limit_;
  std::mutex mutex_;
  std::map<std::string, std::vector<idle_connection>> idle_;
};

}  // namespace egretrack::net

#endif  // EGRETRACK_NET_CONNECTION_POOL_H_
