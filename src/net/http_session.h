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
#include "egretrack/net/traffic_guard.h"
#include "net/http_convert.h"
#include "net/io_threads.h"
#include "net/timeout_timer.h"

namespace egretrack::net {

class http_session;

// State shared by the sessions of one server. Outlives the server while a
// request handler holds an exchange.
struct http_server_state {
  http_server_state(unsigned threads,
                    http_limits bounds,
                    http_server::handler handler)
      : io(threads),
        limits(std::move(bounds)),
        on_request(std::move(handler)) {}

  io_threads io;
  const http_limits limits;
  const http_server::handler on_request;
  std::atomic<bool> draining = false;
  // Connections are closed after their next response; new connections are
  // accepted.
  std::atomic<bool> keep_alive_disabled = false;
  std::atomic<bool> stopping = false;
  // Does not count rejected connections.
  std::atomic<std::size_t> served_connections = 0;
  std::atomic<std::size_t> open_requests = 0;
  std::mutex mutex;
  std::unordered_set<http_session*> sessions;  // Guarded by `mutex`.
};

// One connection of a caller. Its pending operations and the exchange of its
// request keep it alive. Private functions other than PostToStrand() run on
// the strand of the socket.
class http_session : public std::enable_shared_from_this<http_session> {
 public:
  using socket = boost::asio::ip::tcp::socket;

  // The executor of `connection` must be a strand.
  http_session(std::shared_ptr<http_server_state> server, socket connection);
  ~http_session();
  http_session(const http_session&) = delete;
  http_session& operator=(const http_session&) = delete;

  // Returns whether the limits of connections allow to serve this one.
  bool Admit();
  // Serves requests until the connection ends.
  void Start();
  // Sends a 503 response for too many connections without reading a request,
  // then closes the connection.
  void Reject();
  // Closes the connection at once if it is idle, otherwise after its current
  // response.
  void Drain();
  // Closes the connection at once.
  void Abort();

  // Called by the exchange of a request. Calls for any other than the current
  // request are ignored.
  void Respond(std::uint64_t request_number, http_response response);
  void SendInformational(std::uint64_t request_number, http_response response);
  void ReportBodyDiscarded(std::uint64_t request_number);
  void AbortRequest(std::uint64_t request_number);
  void OnDisconnect(std::uint64_t request_number,
                    std::function<void()> callback);
  void CheckConnection(std::uint64_t request_number,
                       std::function<void(monotonic_time)> open);

 private:
  using error_code = boost::system::error_code;

  enum class phase : std::uint8_t {
    kIdle,       // Awaits the first byte of a request.
    kReceiving,  // Reads the request.
    kWaiting,    // Awaits the response of the handler.
    kResponding,
    kLingering,  // Discards input, see kLingerTimeout.
    kClosed,
  };

  // Runs `action` on the strand of the socket unless the connection is closed
  // by then. Does nothing once the server's threads are being stopped.
  template <typename Action>
  void PostToStrand(Action action);

  // Enters a phase and reports the bytes held in it.
  void Enter(phase next, std::size_t held_bytes);
  void CountLimit(traffic_limit limit);

  void ReadRequest();
  void ReadSome();
  void OnSomeRead(const error_code& failure, std::size_t size);
  void OnInputWhileWaiting(const error_code& failure);
  void BeginRequest();
  void ParseInput();
  // Returns false if the request is finished or rejected.
  bool ParsePart();
  void OnHeader();
  void OnHeaderTimeout();
  void OnReceiveTimeout(traffic_limit limit);
  void OnReceiveFailure(const error_code& failure);
  std::size_t MaxRequestBytes() const;
  // Memory of the request that is being received.
  std::size_t HeldRequestBytes() const;
  bool HasPeerClosed();
  void WatchUnreadConnection();
  void InvokeHandler();

  void SendFinal(http_response response);
  void SendErrorResponse(unsigned status,
                         std::string_view code,
                         std::string_view message);
  void Enqueue(http_response response);
  void WriteNext();
  void WriteSome();
  void OnWritten(const error_code& failure);
  void OnResponseSent();

  void Linger();
  void Close();
  void OnPeerClosed();
  void NotifyDisconnect();
  void EndRequest();
  void EndServing();
  void LeaveGuard();

  const std::shared_ptr<http_server_state> server_;
  socket socket_;
  timeout_timer timer_;
  phase phase_ = phase::kIdle;
  boost::beast::flat_buffer buffer_;
  std::optional<
      boost::beast::http::request_parser<boost::beast::http::string_body>>
      parser_;
  bool serving_ = false;
  bool read_pending_ = false;
  bool peer_closed_ = false;
  bool header_read_ = false;
  bool awaits_continue_ = false;   // Until "100 Continue" is sent.
  std::size_t request_bytes_ = 0;  // Received of the current request.
  monotonic_time request_began_{};
  // The next request is sent after this time, see http_exchange::sent_after().
  monotonic_time sent_after_ = monotonic_clock::now();
  std::optional<connection_number> guard_number_;

  // State of the current request.
  std::uint64_t request_number_ = 0;
  bool request_open_ = false;
  bool keep_alive_ = true;
  response_format format_;
  std::function<void()> on_disconnect_;

  std::deque<http_response> outgoing_;
  std::optional<beast_response> message_;  // Being written.
  std::optional<
      boost::beast::http::response_serializer<boost::beast::http::string_body>>
      serializer_;
};

}  // namespace egretrack::net

#endif  // EGRETRACK_NET_HTTP_SESSION_H_
