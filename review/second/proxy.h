#ifndef REVIEW_SECOND_PROXY_H_
#define REVIEW_SECOND_PROXY_H_

#include <memory>

#include "egretrack/net/http.h"

namespace review {

// A TCP proxy between two machines. It can silence the connections that are
// open: from then on their bytes and their ends are dropped without a reset,
// while new connections work. It
// can also reset them.
class proxy {
 public:
  // Throws std::runtime_error if `listen` is in use.
  static std::unique_ptr<proxy> Open(const egretrack::net::tcp_address& listen,
                                     const egretrack::net::tcp_address& target);
  virtual ~proxy() = default;
  // Returns the number of connections that were open.
  virtual int SilenceOpenConnections() = 0;
  // Resets up to `most` of the open connections at both ends. Returns their
  // number.
  virtual int ResetOpenConnections(int most) = 0;
  virtual egretrack::net::tcp_address address() const = 0;
};

}  // namespace review

#endif  // REVIEW_SECOND_PROXY_H_
