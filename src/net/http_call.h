#ifndef EGRETRACK_NET_HTTP_CALL_H_
#define EGRETRACK_NET_HTTP_CALL_H_

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>

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
};

// One request and its response over one connection. Its pending operations keep
// it alive. Private member functions run on the strand of the socket, except
// AcquireConnection().
class http_call : public std::enable_shared_from_this<http_call> {
 public:
  http_call(std::shared_ptr<http_client_state> client,
            const tcp_address& address,
            http_request request,
            milliseconds timeout,
            http_client::callback done);
  ~http_call();
  http_call(const http_call&) = delete;
  http_call& operator=(const http_call&) = delete;

  void Start();
  // Fails the call unless it has already ended.
  void Abort();

 private:
  using socket = boost::asio::ip::tcp::socket;
  using error_code = boost::system::error_code;

  socket AcquireConnection();
  void Begin();
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
  const milliseconds timeout_;
  http_client::callback done_;

  bool reused_ = false;  // The connection was taken from the pool.
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
