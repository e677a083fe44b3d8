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
#include "net/connection_liveness.h"

namespace egretrack::net {

// Idle connections of a client, by server address. Thread-safe.
class connection_pool {
 public:
  using socket = boost::asio::ip::tcp::socket;

  struct idle_connection {
    socket connection;
    monotonic_time received_at;  // End of its last response.
  };

  explicit connection_pool(std::size_t connections_per_address)
      : limit_(connections_per_address) {}

  // Removes and returns a connection that the server has not closed and that is
  // not presumed dead. Returns none if the pool has no such connection.
  std::optional<idle_connection> Acquire(const std::string& address);
  // Adds an idle connection to the pool, or closes it if the pool is full for
  // this address.
  void Release(const std::string& address, socket connection);

  // See connection_liveness. Idle connections that are presumed dead since are
  // closed.
  void RecordSilence(const std::string& address, monotonic_time due_at);
  void RecordLife(const std::string& address);
  bool IsAlive(const std::string& address, monotonic_time received_at) const;

 private:
  struct server_connections {
    std::vector<idle_connection> idle;
    connection_liveness liveness;
  };

  const std::size_t limit_;
  mutable std::mutex mutex_;
  std::map<std::string, server_connections> servers_;
};

}  // namespace egretrack::net

#endif  // EGRETRACK_NET_CONNECTION_POOL_H_
