#ifndef EGRETRACK_SRC_EGRETRACKCTL_COMMANDS_TRANSPORT_H_
#define EGRETRACK_SRC_EGRETRACKCTL_COMMANDS_TRANSPORT_H_

#include <memory>

#include "egretrack/net/http.h"

namespace egretrack::ctl {

// Carries one request to one entry; a strategy, so that tests can lose answers.
class transport {
 public:
  virtual ~transport() = default;
  virtual net::http_reply Call(const net::tcp_address& entry,
                               const net::http_request& request,
                               milliseconds timeout) = 0;
};

std::unique_ptr<transport> MakeHttpTransport();

}  // namespace egretrack::ctl

#endif  // EGRETRACK_SRC_EGRETRACKCTL_COMMANDS_TRANSPORT_H_
