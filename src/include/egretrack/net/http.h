#ifndef EGRETRACK_NET_HTTP_H_
#define EGRETRACK_NET_HTTP_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "egretrack/base/result.h"
#include "egretrack/base/time.h"

// HTTP server and client on traffic threads. Beast stays in the sources.
namespace egretrack::net {

struct header {
  std::string name;
  std::string value;
};

struct http_request {
  std::string method;
  std::string target;  // Path and query.
  std::vector<header> headers;
  std::string body;

  std::string_view path() const;
  // Value of a query parameter, percent-decoded; empty when absent.
  std::string Query(std::string_view name) const;
  // Value of a header, name compared without case; empty when absent.
  std::string_view Header(std::string_view name) const;
};

struct http_response {
  unsigned status = 200;
  std::vector<header> headers;
  std::string body;

  std::string_view Header(std::string_view name) const;
};

// One request that waits for its response. Kept alive by whoever will respond;
// responding from any thread is safe. If the last reference goes without a
// response, the server sends 500.
class http_exchange {
 public:
  virtual ~http_exchange() = default;
  virtual const http_request& request() const = 0;
  // Sends an informational response (1xx) before the final one.
  virtual void SendInformational(unsigned status,
                                 std::vector<header> headers) = 0;
  // Sends the final response; only the first call counts.
  virtual void Respond(http_response response) = 0;
  // Closes the connection without a response; counts as the response.
  virtual void Abort() = 0;
  // Called once, on a traffic thread, if the caller closes its connection, or
  // its sending side, before the response is sent. Must not hold the exchange.
  virtual void OnDisconnect(std::function<void()> callback) = 0;
};
using http_exchange_ptr = std::shared_ptr<http_exchange>;

struct http_limits {
  std::size_t body_bytes = 32U << 20U;
  std::uint32_t header_bytes = 8192;
  seconds receive_timeout{10};  // For one whole request.
  seconds idle_timeout{30};     // Between requests.
  seconds send_timeout{10};     // Without progress of the reader.
  std::size_t connections = 1024;
};

struct tcp_address {
  std::string host;  // IP number.
  std::uint16_t port = 0;

  // "127.0.0.1:80" or "[::1]:80".
  static result<tcp_address> Parse(std::string_view text);
  std::string ToString() const;
};

class http_server {
 public:
  using handler = std::function<void(http_exchange_ptr)>;

  // Takes the address, but refuses connections until StartAccepting() is
  // called. Serves on `threads` threads of its own. Port 0 lets the system
  // choose. Too large, malformed and slow requests are answered with 4xx and a
  // JSON body {"error":
  // ..., "message": ...} without calling the handler. Errors: those of the
  // system.
  static result<std::unique_ptr<http_server>> Bind(const tcp_address& address,
                                                   unsigned threads,
                                                   http_limits limits,
                                                   handler on_request);
  // Bind() and StartAccepting().
  static result<std::unique_ptr<http_server>> Listen(const tcp_address& address,
                                                     unsigned threads,
                                                     http_limits limits,
                                                     handler on_request);
  virtual ~http_server() = default;

  virtual tcp_address local_address() const = 0;
  // Begins to accept connections. Errors: those of the system.
  virtual result<void> StartAccepting() = 0;
  // Stops accepting connections, closes idle ones, answers open requests with
  // "Connection: close". Returns at once.
  virtual void Drain() = 0;
  // Goes on accepting, but answers every request with "Connection: close", so
  // that callers turn to other servers between two requests.
  virtual void DisableKeepAlive() = 0;
  // True when no request waits for its response to be sent.
  virtual bool idle() const = 0;
};

// How far a failed call got; decides whether the other side may have acted.
enum class call_stage : std::uint8_t {
  kNotSent,  // No byte of the request was written.
  kSent,     // Some or all of the request was written.
};

struct call_failure {
  error cause;
  call_stage stage = call_stage::kNotSent;
};

struct http_reply {
  bool ok = false;  // True: `response` is whole. False: `failure` says why.
  http_response response;
  call_failure failure;
};

struct client_options {
  unsigned threads = 1;
  std::size_t connections_per_address = 64;  // Kept open when idle.
  std::size_t max_response_bytes = 16U << 20U;
  milliseconds connect_timeout{1000};
};

class http_client {
 public:
  using callback = std::function<void(http_reply)>;

  static std::unique_ptr<http_client> Create(client_options options);
  virtual ~http_client() = default;

  // Calls `done` once, on a traffic thread. A reused idle connection that
  // turns out closed before a byte of the response is reported as kSent
  // unless nothing was written. `timeout` bounds the whole call; 0 is none.
  virtual void Call(const tcp_address& address,
                    http_request request,
                    milliseconds timeout,
                    callback done) = 0;

  // Waits for the reply on the calling thread.
  http_reply CallAndWait(const tcp_address& address,
                         http_request request,
                         milliseconds timeout);
};

}  // namespace egretrack::net

#endif  // EGRETRACK_NET_HTTP_H_
