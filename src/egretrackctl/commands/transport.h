#ifndef EGRETRACK_SRC_EGRETRACKCTL_COMMANDS_TRANSPORT_H_
#define EGRETRACK_SRC_EGRETRACKCTL_COMMANDS_TRANSPORT_H_

#include <memory>

#include "egretrack/net/http.h"

namespace egretrack::ctl {

// Sends one request to one entry. Tests replace the implementation to simulate
// lost responses.
class transport {
 public:
  virtual ~transport() = default;
  // Blocks until the response arrives, the call fails or `timeout` has passed.
  virtual net::http_reply Call(const net::tcp_address& entry,
                               const net::http_request& request,
                               milliseconds timeout) = 0;
};

// The returned transport creates its HTTP client on the first call.
std::unique_ptr<transport> MakeHttpTransport();

}  // namespace egretrack::ctl

#endif  // EGRETRACK_SRC_EGRETRACKCTL_COMMANDS_TRANSPORT_H_
