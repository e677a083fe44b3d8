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

// Idle connections of a client, by server address. Thread-safe.
class connection_pool {
 public:
  using socket = boost::asio::ip::tcp::socket;

  explicit connection_pool(std::size_t connections_per_address)
      : limit_(connections_per_address) {}

  // Removes and returns a connection that the server has not closed. Returns
  // none if the pool has no such connection.
  std::optional<socket> Acquire(const std::string& address);
  // Adds an idle connection to the pool, or closes it if the pool is full for
  // this address.
  void Release(const std::string& address, socket connection);

 private:
  struct idle_connection {
    socket connection;
    monotonic_time idle_since;
  };

  const std::size_t limit_;
  std::mutex mutex_;
  std::map<std::string, std::vector<idle_connection>> idle_;
};

}  // namespace egretrack::net

#endif  // EGRETRACK_NET_CONNECTION_POOL_H_
