#ifndef EGRETRACK_NET_HTTP_H_
#define EGRETRACK_NET_HTTP_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "egretrack/base/result.h"
#include "egretrack/base/time.h"

// HTTP/1.1 server and client that run on traffic threads. The implementation
// uses Boost.Beast, which this header does not expose.
namespace egretrack::net {

class traffic_guard;

struct header {
  std::string name;
  std::string value;
};

struct http_request {
  std::string method;
  std::string target;  // Path and query string.
  std::vector<header> headers;
  std::string body;

  std::string_view path() const;
  // Percent-decoded value of a query parameter; empty if absent.
  std::string Query(std::string_view name) const;
  // Value of a header; empty if absent. Header names are case-insensitive.
  std::string_view Header(std::string_view name) const;
};

struct http_response {
  unsigned status = 200;
  std::vector<header> headers;
  std::string body;

  std::string_view Header(std::string_view name) const;
};

// A request and the means to respond to it. The handler keeps a reference until
// it has responded, which it may do from any thread. If the last reference is
// released without a response, the server sends status 500.
class http_exchange {
 public:
  virtual ~http_exchange() = default;
  virtual const http_request& request() const = 0;
  // Sends an informational response (1xx) before the final one.
  virtual void SendInformational(unsigned status,
                                 std::vector<header> headers) = 0;
  // Sends the final response. Only the first call of Respond() or Abort() has
  // an effect.
  virtual void Respond(http_response response) = 0;
  // Closes the connection without a response.
  virtual void Abort() = 0;
  // Registers a callback that runs once, on a traffic thread, if the caller
  // closes its connection or the sending side of it before the final response.
  // The callback must not own a reference to the exchange, as that would be a
  // reference cycle.
  virtual void OnDisconnect(std::function<void()> callback) = 0;
  // Whether the caller had closed its connection, or the sending side of it,
  // when the request was handed to the handler.
  virtual bool was_disconnected() const = 0;
  // When the server looked for was_disconnected().
  virtual monotonic_time connection_checked_at() const = 0;
  // The caller has certainly sent the request after this time: the connection
  // was opened or the last response begun then, and nothing waited to be read.
  virtual monotonic_time sent_after() const = 0;
  // Looks at the connection again. Calls `open` on a traffic thread, with the
  // time of the look, if the caller has not closed its connection or the
  // sending side of it; otherwise the callback of OnDisconnect() runs. Calls
  // neither once the response has begun. `open` must not own a reference to the
  // exchange.
  virtual void CheckConnection(std::function<void(monotonic_time)> open) = 0;
  // Frees the body of the request, so that it takes no memory until the
  // response. Must be called by the handler before it passes the exchange on.
  virtual void DiscardBody() {}
};
using http_exchange_ptr = std::shared_ptr<http_exchange>;

struct http_limits {
  std::size_t body_bytes = 32U << 20U;
  std::uint32_t header_bytes = 8192;
  milliseconds header_timeout{10000};  // From the first byte of a request.
  seconds receive_timeout{10};         // For one complete request.
  seconds idle_timeout{30};            // Between requests.
  seconds send_timeout{10};            // Without progress of a write.
  std::size_t connections = 1024;
  // Bounds the connections of all servers of the process; may be null.
  std::shared_ptr<traffic_guard> guard;
};

struct tcp_address {
  std::string host;  // IP address; host names are not resolved.
  std::uint16_t port = 0;

  // Accepts "127.0.0.1:80" and "[::1]:80".
  static result<tcp_address> Parse(std::string_view text);
  // As Parse(), but the port must be 1 or more.
  static result<tcp_address> ParseRemote(std::string_view text);
  std::string ToString() const;
};

class http_server {
 public:
  using handler = std::function<void(http_exchange_ptr)>;

  // Binds the address, but connections are refused until StartAccepting() is
  // called. Requests are served on `threads` threads of the server. With port 0
  // the system chooses the port. Requests that are malformed, too large or too
  // slow get a 4xx response with the JSON body
  //   {"error": ..., "message": ...}
  // and don't reach the handler. Returns the error of the failed system call.
  static result<std::unique_ptr<http_server>> Bind(const tcp_address& address,
                                                   unsigned threads,
                                                   http_limits limits,
                                                   handler on_request);
  // Calls Bind() and StartAccepting().
  static result<std::unique_ptr<http_server>> Listen(const tcp_address& address,
                                                     unsigned threads,
                                                     http_limits limits,
                                                     handler on_request);
  virtual ~http_server() = default;

  virtual tcp_address local_address() const = 0;
  // Starts to accept connections. Returns the error of the failed system call.
  virtual result<void> StartAccepting() = 0;
  // Stops accepting connections, closes idle ones and sends "Connection: close"
  // with the responses to open requests. Does not wait for these responses.
  virtual void Drain() = 0;
  // Keeps accepting connections, but sends "Connection: close" with every
  // response, so that callers connect to another server for their next request.
  virtual void DisableKeepAlive() = 0;
  // True if no response is outstanding.
  virtual bool idle() const = 0;
};

// How far a failed call got. Callers use it to decide whether the server may
// have acted on the request.
enum class call_stage : std::uint8_t {
  kNotSent,  // No byte of the request was written.
  kSent,     // Part or all of the request was written, or may have been.
};

struct call_failure {
  error cause;
  call_stage stage = call_stage::kNotSent;
};

// Result of a call.
struct http_reply {
  bool ok = false;  // Selects `response` if true, `failure` if false.
  http_response response;
  call_failure failure;
};

struct client_options {
  unsigned threads = 1;
  std::size_t connections_per_address = 64;  // Idle ones in the pool.
  std::size_t max_response_bytes = 16U << 20U;
  milliseconds connect_timeout{1000};
  // Of the header of a response, and of each trailer and chunk extension.
  std::uint32_t max_header_bytes = 65536;
  // Ends calls without a response with errc::kTimeout when their connections
  // are presumed dead, for servers that hold calls open for long.
  bool end_silent_calls = false;
};

struct call_limits {
  milliseconds timeout{0};  // Of the whole call; 0: none.
  // Part of `timeout` for which the server may hold the response back.
  milliseconds hold{0};
};

class http_client {
 public:
  using callback = std::function<void(http_reply)>;

  static std::unique_ptr<http_client> Create(client_options options);
  virtual ~http_client() = default;

  // Calls `done` once, on a traffic thread. If a pooled connection turns out to
  // be closed, the request is sent again on a new connection only if no byte of
  // it had been written; otherwise the call fails with kSent. When calls get no
  // byte of a response in time, the connections to their address on which
  // nothing was received since may be presumed dead and are not used again: all
  // open connections may go silent at once while new ones work.
  virtual void Call(const tcp_address& address,
                    http_request request,
                    call_limits limits,
                    callback done) = 0;
  void Call(const tcp_address& address,
            http_request request,
            milliseconds timeout,
            callback done) {
    Call(address, std::move(request), call_limits{timeout, {}},
         std::move(done));
  }

  // Blocks the calling thread until the call ends.
  http_reply CallAndWait(const tcp_address& address,
                         http_request request,
                         milliseconds timeout);
};

}  // namespace egretrack::net

#endif  // EGRETRACK_NET_HTTP_H_
