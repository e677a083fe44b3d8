#ifndef REVIEW_SECOND_HTTP_CALLER_H_
#define REVIEW_SECOND_HTTP_CALLER_H_

#include <string>

#include "egretrack/net/http.h"

namespace review {

// Sends one request on a connection of its own and waits for the response.
// Returns its status, or 0 without a complete response within `timeout_ms`.
// The connection is closed afterwards.
unsigned CallOnce(const egretrack::net::tcp_address& at,
                  const egretrack::net::http_request& request,
                  int timeout_ms,
                  std::string& body);

}  // namespace review

#endif  // REVIEW_SECOND_HTTP_CALLER_H_
