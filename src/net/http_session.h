#ifndef EGRETRACK_NET_HTTP_SESSION_H_
#define EGRETRACK_NET_HTTP_SESSION_H_

#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string_view>
#include <unordered_set>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>

#include "egretrack/net/http.h"
#include "net/http_convert.h"
#include "net/io_threads.h"
#include "net/phase_timer.h"

namespace egretrack::net {

class http_session;

// What the sessions of one server share; outlives the server while an exchange
// is held.
struct http_server_state {
  http_server_state(unsigned threads,
                    const http_limits& bounds,
                    http_server::handler handler)
      : io(threads), limits(bounds), on_request(std::move(handler)) {}

  io_threads io;
  const http_limits limits;
  const http_server::handler on_request;
  std::atomic<bool> draining = false;
  // Connections are closed after their next response; new ones are accepted.
  std::atomic<bool> closing = false;
  std::atomic<bool> stopping = false;
  std::atomic<std::size_t> serving = 0;  // Connections, without rejected ones.
  std::atomic<std::size_t> open_requests = 0;
  std::mutex mutex;
  std::unordered_set<http_session*> sessions;  // Guarded by `mutex`.
};

// One connection of a caller. Kept alive by its pending operations and by the
// exchange of its request; all but the public members run on its strand.
class http_session : public std::enable_shared_from_this<http_session> {
 public:
  using socket = boost::asio::ip::tcp::socket;

  // `connection` runs its handlers on a strand of its own.
  http_session(std::shared_ptr<http_server_state> server, socket connection);
  ~http_session();
  http_session(const http_session&) = delete;
  http_session& operator=(const http_session&) = delete;

  // Serves requests until the connection ends.
  void Start();
  // Answers that there are too many connections, without reading.
  void Reject();
  // Closes the connection now if it is idle, else after its response.
  void Drain();
  void Abort();

  // For the exchange of request `number`; ignored for any other.
  void Respond(std::uint64_t number, http_response response);
  void SendInformational(std::uint64_t number, http_response response);
  void AbortRequest(std::uint64_t number);
  void OnDisconnect(std::uint64_t number, std::function<void()> callback);

 private:
  using error_code = boost::system::error_code;

  enum class phase : std::uint8_t {
    kIdle,       // Waits for the first byte of a request.
    kReceiving,  // Reads a request.
    kWaiting,    // The handler has the request.
    kResponding,
    kLingering,  // Discards input so that the last response isn't reset.
    kClosed,
  };

  template <typename Action>
  void OnStrand(Action action);

  void ReadRequest();
  void ReadSome();
  void OnSome(const error_code& failure, std::size_t size);
  void OnInputWhileWaiting(const error_code& failure);
  void ReadHeader();
  void OnReceiveTimeout();
  void OnHeader(const error_code& failure);
  void ReadBody();
  void OnRequest(const error_code& failure);
  void OnReceiveFailure(const error_code& failure);
  void HandOver();

  void SendFinal(http_response response);
  void RefuseRequest(unsigned status,
                     std::string_view code,
                     std::string_view message);
  void Enqueue(http_response response);
  void WriteNext();
  void WriteSome();
  void OnWritten(const error_code& failure);
  void OnResponseSent();

  void Linger();
  void Close();
  void NotifyClosed();
  void EndRequest();
  void EndServing();

  const std::shared_ptr<http_server_state> server_;
  socket socket_;
  phase_timer timer_;
  phase phase_ = phase::kIdle;
  boost::beast::flat_buffer buffer_;
  std::optional<
      boost::beast::http::request_parser<boost::beast::http::string_body>>
      parser_;
  bool serving_ = false;
  bool reading_some_ = false;
  bool timed_out_ = false;
  bool peer_closed_ = false;

  // The request that waits for its response.
  std::uint64_t request_number_ = 0;
  bool request_open_ = false;
  bool keep_alive_ = true;
  response_form form_;
  std::function<void()> on_closed_;

  std::deque<http_response> outgoing_;
  std::optional<beast_response> message_;  // Being written.
  std::optional<
      boost::beast::http::response_serializer<boost::beast::http::string_body>>
      serializer_;
};

}  // namespace egretrack::net

#endif  // EGRETRACK_NET_HTTP_SESSION_H_
