#ifndef EGRETRACK_HOSTILE_CLIENTS_CLIENT_GROUP_H_
#define EGRETRACK_HOSTILE_CLIENTS_CLIENT_GROUP_H_

#include <cstddef>
#include <string>
#include <vector>

#include "egretrack/base/result.h"
#include "egretrack/net/http.h"

namespace egretrack::hostile_clients {

// The bytes that a client sends: `head`, then `block` again and again until
// `total_bytes` are sent.
struct byte_stream {
  std::string head;
  std::string block;
  std::size_t total_bytes = 0;
};

// Connections that send their stream as fast as the peer accepts it and never
// read. Belongs to one thread. The destructor closes the connections.
class client_group {
 public:
  client_group() = default;
  ~client_group();
  client_group(const client_group&) = delete;
  client_group& operator=(const client_group&) = delete;

  // Errors: system errors. A connection that the peer refuses is left out.
  result<void> Open(const net::tcp_address& address,
                    std::size_t connections,
                    const byte_stream& stream);
  // Sends until each connection has sent all of its stream, was closed by the
  // peer, or has made no progress for a second.
  void SendAll();

  std::size_t sent_bytes() const { return sent_bytes_; }

 private:
  struct client {
    int descriptor = -1;
    std::size_t stream = 0;  // Index in streams_.
    std::size_t sent = 0;
  };

  // Returns whether a byte was sent. Closes a connection that failed.
  bool SendSome(client& target);

  std::vector<byte_stream> streams_;
  std::vector<client> clients_;
  std::size_t sent_bytes_ = 0;
};

}  // namespace egretrack::hostile_clients

#endif  // EGRETRACK_HOSTILE_CLIENTS_CLIENT_GROUP_H_
