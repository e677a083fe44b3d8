#ifndef EGRETRACK_STANDINS_RAW_CONNECTION_H_
#define EGRETRACK_STANDINS_RAW_CONNECTION_H_

#include <string>
#include <string_view>

#include "egretrack/base/result.h"
#include "egretrack/base/time.h"
#include "egretrack/net/http.h"

namespace egretrack::standins {

// A TCP connection that sends arbitrary bytes, to act as a malformed or slow
// client.
class raw_connection {
 public:
  // Errors: system errors.
  static result<raw_connection> Open(const net::tcp_address& address);
  raw_connection(raw_connection&& other) noexcept;
  raw_connection& operator=(raw_connection&&) = delete;
  ~raw_connection();

  // Sends all bytes. Errors: system errors; errc::kTimeout if the peer accepts
  // no bytes for 1 s.
  result<void> Send(std::string_view bytes);
  // Waits for bytes; returns an empty string if the peer closed the connection.
  // Errors: errc::kTimeout, system errors.
  result<std::string> Receive(milliseconds timeout);

 private:
  explicit raw_connection(int descriptor) : descriptor_(descriptor) {}

  int descriptor_;
};

}  // namespace egretrack::standins

#endif  // EGRETRACK_STANDINS_RAW_CONNECTION_H_
