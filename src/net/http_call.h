#ifndef EGRETRACK_NET_HTTP_CALL_H_
#define EGRETRACK_NET_HTTP_CALL_H_

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>

#include "egretrack/net/http.h"
#include "net/connection_pool.h"
#include "net/http_convert.h"
#include "net/io_threads.h"
#include "net/timeout_timer.h"

namespace egretrack::net {

class http_call;

// State shared by the calls of one client.
struct http_client_state {
  explicit http_client_state(const client_options& chosen)
      : options(chosen),
        io(chosen.threads),
        pool(chosen.connections_per_address) {}

  const client_options options;
  io_threads io;
  connection_pool pool;
  std::atomic<bool> stopping = false;
  std::mutex mutex;
  std::unordered_set<http_call*> calls;  // Guarded by `mutex`.

  // Skips calls that are being created or destroyed, as weak_from_this() can't
  // be locked for them.
  std::vector<std::shared_ptr<http_call>> OpenCalls();
  // A call to the address whose response was due at `due_at` got no byte in
  // time.
  void RecordSilence(const std::string& address, monotonic_time due_at);
};

// One request and its response over one connection. Its pending operations keep
// it alive. Private member functions run on the strand of the socket, except
// AcquireConnection().
class http_call : public std::enable_shared_from_this<http_call> {
 public:
  http_call(std::shared_ptr<http_client_state> client,
            const tcp_address& address,
            http_request request,
            call_limits limits,
            http_client::callback done);
  ~http_call();
  http_call(const http_call&) = delete;
  http_call& operator=(const http_call&) = delete;

  void Start();
  // Fails the call unless it has already ended.
  void Abort();
  // Fails the call if it goes to the address and its connection is presumed
  // dead.
  void EndIfSilent(const std::string& address);

 private:
  using socket = boost::asio::ip::tcp::socket;
  using error_code = boost::system::error_code;

  socket AcquireConnection();
  void OnTimeout();
  // Whether nothing was received on the connection since the request was sent.
  bool IsUnanswered() const;
  void Begin();
  void ReplaceConnection();
  void Connect();
  void OnConnected(const error_code& failure);
  void WriteSome();
  void OnWritten(const error_code& failure, std::size_t size);
  void ReadHeader();
  void OnHeader(const error_code& failure);
  void OnResponse(const error_code& failure);
  void Fail(std::error_code code, std::string_view reason);
  void Succeed();
  void Finish(http_reply reply);

  const std::shared_ptr<http_client_state> client_;
  const tcp_address address_;
  const std::string address_text_;
  const call_limits limits_;
  http_client::callback done_;

  bool reused_ = false;           // The connection was taken from the pool.
  monotonic_time received_at_{};  // Last, on the connection.
  monotonic_time began_at_{};
  bool response_began_ = false;
  socket socket_;
  timeout_timer call_timer_;
  timeout_timer connect_timer_;
  call_stage stage_ = call_stage::kNotSent;
  std::size_t bytes_written_ = 0;

  beast_request message_;
  boost::beast::http::request_serializer<boost::beast::http::string_body>
      serializer_;
  boost::beast::flat_buffer buffer_;
  std::optional<
      boost::beast::http::response_parser<boost::beast::http::string_body>>
      parser_;
};

}  // namespace egretrack::net

#endif  // EGRETRACK_NET_HTTP_CALL_H_
