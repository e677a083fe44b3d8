#ifndef EGRETRACK_STANDINS_RAW_CONNECTION_H_
#define EGRETRACK_STANDINS_RAW_CONNECTION_H_

#include <string>
#include <string_view>

#include "egretrack/base/result.h"
#include "egretrack/base/time.h"
#include "egretrack/net/http.h"

namespace egretrack::standins {

// A TCP connection that sends any bytes, for malformed and slow clients.
class raw_connection {
 public:
  // Errors: those of the system.
  static result<raw_connection> Open(const net::tcp_address& address);
  raw_connection(raw_connection&& other) noexcept;
  raw_connection& operator=(raw_connection&&) = delete;
  ~raw_connection();

  // Sends all of it. Errors: those of the system; errc::kTimeout when the peer
  // takes nothing for 1 s.
  result<void> Send(std::string_view bytes);
  // Waits for bytes; empty when the peer closed. Errors: errc::kTimeout, those
  // of the system.
  result<std::string> Receive(milliseconds timeout);

 private:
  explicit raw_connection(int descriptor) : descriptor_(descriptor) {}

  int descriptor_;
};

}  // namespace egretrack::standins

#endif  // EGRETRACK_STANDINS_RAW_CONNECTION_H_
