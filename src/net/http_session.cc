#include "net/http_session.h"

#include <exception>
#include <string>
#include <utility>

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace egretrack::net {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr std::size_t kReadBufferBytes = 4096;
// A composed read that is between two socket reads is not affected by
// cancel(), so it is cancelled again after this interval.
constexpr milliseconds kCancelRetryInterval{50};
// Time for which input is discarded after the last response. Closing a socket
// with unread input resets the connection, and the peer could lose the
// response.
constexpr milliseconds kLingerTimeout{1000};

constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

http_response MakeErrorResponse(unsigned status,
                                std::string_view code,
                                std::string_view message) {
  std::string body = R"({"error":")";
  body.append(code).append(R"(","message":")").append(message).append("\"}");
  return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

// The request of a session that awaits its response. A session has at most one
// at a time.
class session_exchange final : public http_exchange {
 public:
  session_exchange(std::shared_ptr<http_session> session,
                   std::uint64_t request_number,
                   http_request request,
                   bool was_disconnected)
      : session_(std::move(session)),
        request_number_(request_number),
        request_(std::move(request)),
        was_disconnected_(was_disconnected) {}
  session_exchange(const session_exchange&) = delete;
  session_exchange& operator=(const session_exchange&) = delete;

  ~session_exchange() override {
    if (!responded_.exchange(true)) {
      session_->Respond(
          request_number_,
          MakeErrorResponse(500, "internal_error",
                            "the request was dropped without a response"));
    }
  }

  const http_request& request() const override { return request_; }

  void SendInformational(unsigned status,
                         std::vector<header> headers) override {
    session_->SendInformational(request_number_,
                                {status, std::move(headers), {}});
  }

  void Respond(http_response response) override {
    if (!responded_.exchange(true))
      session_->Respond(request_number_, std::move(response));
  }

  void Abort() override {
    if (!responded_.exchange(true))
      session_->AbortRequest(request_number_);
  }

  void OnDisconnect(std::function<void()> callback) override {
    session_->OnDisconnect(request_number_, std::move(callback));
  }

  bool was_disconnected() const override { return was_disconnected_; }

 private:
  const std::shared_ptr<http_session> session_;
  const std::uint64_t request_number_;
  const http_request request_;
  const bool was_disconnected_;
  std::atomic<bool> responded_ = false;
};

}  // namespace

http_session::http_session(std::shared_ptr<http_server_state> server,
                           socket connection)
    : server_(std::move(server)),
      socket_(std::move(connection)),
      timer_(socket_.get_executor()) {
  const std::lock_guard lock(server_->mutex);
  server_->sessions.insert(this);
}

http_session::~http_session() {
  EndRequest();
  EndServing();
  const std::lock_guard lock(server_->mutex);
  server_->sessions.erase(this);
}

template <typename Action>
void http_session::PostToStrand(Action action) {
  if (!server_->io.running())
    return;
  asio::post(socket_.get_executor(),
             [self = shared_from_this(), action = std::move(action)]() mutable {
               if (self->phase_ != phase::kClosed)
                 action(*self);
             });
}

void http_session::Start() {
  serving_ = true;
  ++server_->served_connections;
  PostToStrand([](http_session& self) {
    error_code ignored;
    self.socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    // For HasPeerClosed(); asynchronous operations are not affected.
    self.socket_.non_blocking(true, ignored);
    self.ReadRequest();
  });
}

void http_session::Reject() {
  PostToStrand([](http_session& self) {
    self.SendErrorResponse(503, "too_many_connections",
                           "the process has reached its connection limit");
  });
}

void http_session::Drain() {
  PostToStrand([](http_session& self) {
    error_code ignored;
    const bool idle = self.phase_ == phase::kIdle && self.buffer_.size() == 0 &&
                      self.socket_.available(ignored) == 0;
    if (idle)
      self.Close();
  });
}

void http_session::Abort() {
  // Does not use PostToStrand(), which drops the action once the threads are
  // being stopped.
  asio::post(socket_.get_executor(),
             [self = shared_from_this()] { self->Close(); });
}

// ---- Receiving ------------------------------------------------------------

void http_session::ReadRequest() {
  if (server_->stopping)
    return Close();
  parser_.emplace();
  parser_->header_limit(server_->limits.header_bytes);
  parser_->body_limit(server_->limits.body_bytes);
  timed_out_ = false;
  if (buffer_.size() > 0)
    return ReadHeader();
  phase_ = phase::kIdle;
  timer_.Start(server_->limits.idle_timeout,
               [self = shared_from_this()] { self->Close(); });
  if (!read_pending_)
    ReadSome();
}

// Reads input in the phases idle, waiting and lingering. A read that started
// while a request awaited its response continues as the read for the next
// request.
void http_session::ReadSome() {
  read_pending_ = true;
  socket_.async_read_some(
      buffer_.prepare(kReadBufferBytes),
      [self = shared_from_this()](const error_code& failure, std::size_t size) {
        self->OnSomeRead(failure, size);
      });
}

void http_session::OnSomeRead(const error_code& failure, std::size_t size) {
  read_pending_ = false;
  buffer_.commit(size);
  switch (phase_) {
    case phase::kIdle:
      return failure ? Close() : ReadHeader();
    case phase::kWaiting:
    case phase::kResponding:
      return OnInputWhileWaiting(failure);
    case phase::kLingering:
      buffer_.clear();
      return failure ? Close() : ReadSome();
    case phase::kReceiving:
    case phase::kClosed:
      return;
  }
}

void http_session::OnInputWhileWaiting(const error_code& failure) {
  if (failure) {
    // The peer may have closed only its sending side, so the response is still
    // sent.
    peer_closed_ = true;
    NotifyDisconnect();
  }
  // The input is the start of a pipelined request and stays in the buffer. No
  // further read is started until the current response is sent, so that
  // requests are read one at a time.
}

void http_session::ReadHeader() {
  phase_ = phase::kReceiving;
  timer_.Start(server_->limits.receive_timeout,
               [self = shared_from_this()] { self->OnReceiveTimeout(); });
  http::async_read_header(
      socket_, buffer_, *parser_,
      [self = shared_from_this()](const error_code& failure, std::size_t) {
        self->OnHeader(failure);
      });
}

void http_session::OnReceiveTimeout() {
  timed_out_ = true;
  socket_.cancel();
  timer_.Start(kCancelRetryInterval,
               [self = shared_from_this()] { self->OnReceiveTimeout(); });
}

void http_session::OnHeader(const error_code& failure) {
  if (phase_ == phase::kClosed)
    return;
  if (failure)
    return OnReceiveFailure(failure);
  const auto& message = parser_->get();
  const bool expects_continue =
      message.version() >= 11 &&
      boost::beast::iequals(message[http::field::expect], "100-continue");
  if (!expects_continue)
    return ReadBody();
  asio::async_write(
      socket_, asio::buffer(kContinue),
      [self = shared_from_this()](const error_code& error, std::size_t) {
        return error ? self->Close() : self->ReadBody();
      });
}

void http_session::ReadBody() {
  if (phase_ == phase::kClosed)
    return;
  http::async_read(
      socket_, buffer_, *parser_,
      [self = shared_from_this()](const error_code& failure, std::size_t) {
        self->OnRequest(failure);
      });
}

void http_session::OnRequest(const error_code& failure) {
  if (phase_ == phase::kClosed)
    return;
  if (failure)
    return OnReceiveFailure(failure);
  timer_.Stop();
  InvokeHandler();
}

void http_session::OnReceiveFailure(const error_code& failure) {
  if (timed_out_)
    return SendErrorResponse(408, "request_timeout",
                             "the request was not sent in time");
  if (failure == http::error::body_limit)
    return SendErrorResponse(413, "body_too_large",
                             "the body of the request is too large");
  if (failure == http::error::header_limit)
    return SendErrorResponse(431, "header_too_large",
                             "the header of the request is too large");
  if (failure == http::error::end_of_stream)
    return Close();
  if (failure.category() == make_error_code(http::error::bad_method).category())
    return SendErrorResponse(400, "malformed_request",
                             "the request is not valid HTTP");
  Close();
}

// A process that was suspended reads a request whose caller may have given up
// long ago and has sent it to another process.
bool http_session::HasPeerClosed() {
  if (buffer_.size() > 0)
    return false;
  char next = 0;
  error_code failure;
  socket_.receive(asio::buffer(&next, 1), socket::message_peek, failure);
  return failure == asio::error::eof ||
         failure == asio::error::connection_reset;
}

void http_session::InvokeHandler() {
  beast_request message = parser_->release();
  keep_alive_ = message.keep_alive();
  format_ = {.version = message.version(),
             .keep_alive = keep_alive_,
             .omit_body = message.method() == http::verb::head};
  phase_ = phase::kWaiting;
  ++request_number_;
  request_open_ = true;
  ++server_->open_requests;
  const bool peer_closed = HasPeerClosed();
  if (buffer_.size() == 0)
    ReadSome();
  const auto exchange = std::make_shared<session_exchange>(
      shared_from_this(), request_number_, FromBeast(std::move(message)),
      peer_closed);
  try {
    server_->on_request(exchange);
  } catch (const std::exception&) {
    exchange->Respond(
        MakeErrorResponse(500, "internal_error", "the request handler failed"));
  }
}

// ---- Responding -----------------------------------------------------------

void http_session::Respond(std::uint64_t request_number,
                           http_response response) {
  PostToStrand([request_number,
                response = std::move(response)](http_session& self) mutable {
    if (self.request_number_ == request_number &&
        self.phase_ == phase::kWaiting)
      self.SendFinal(std::move(response));
  });
}

void http_session::SendInformational(std::uint64_t request_number,
                                     http_response response) {
  PostToStrand([request_number,
                response = std::move(response)](http_session& self) mutable {
    const bool sendable = self.request_number_ == request_number &&
                          self.phase_ == phase::kWaiting &&
                          self.format_.version >= 11;
    if (sendable)
      self.Enqueue(std::move(response));
  });
}

void http_session::AbortRequest(std::uint64_t request_number) {
  PostToStrand([request_number](http_session& self) {
    if (self.request_number_ == request_number &&
        self.phase_ == phase::kWaiting)
      self.Close();
  });
}

void http_session::OnDisconnect(std::uint64_t request_number,
                                std::function<void()> callback) {
  PostToStrand([request_number,
                callback = std::move(callback)](http_session& self) mutable {
    if (self.request_number_ != request_number ||
        self.phase_ != phase::kWaiting)
      return;
    if (self.peer_closed_)
      return callback();
    self.on_disconnect_ = std::move(callback);
  });
}

void http_session::SendFinal(http_response response) {
  on_disconnect_ = nullptr;
  phase_ = phase::kResponding;
  if (server_->draining || server_->keep_alive_disabled)
    keep_alive_ = false;
  format_.keep_alive = keep_alive_;
  Enqueue(std::move(response));
}

void http_session::SendErrorResponse(unsigned status,
                                     std::string_view code,
                                     std::string_view message) {
  keep_alive_ = false;
  format_ = {};
  SendFinal(MakeErrorResponse(status, code, message));
}

void http_session::Enqueue(http_response response) {
  outgoing_.push_back(std::move(response));
  if (!message_)
    WriteNext();
}

void http_session::WriteNext() {
  message_.emplace(ToBeast(std::move(outgoing_.front()), format_));
  outgoing_.pop_front();
  serializer_.emplace(*message_);
  WriteSome();
}

void http_session::WriteSome() {
  timer_.Start(server_->limits.send_timeout,
               [self = shared_from_this()] { self->Close(); });
  http::async_write_some(
      socket_, *serializer_,
      [self = shared_from_this()](const error_code& failure, std::size_t) {
        self->OnWritten(failure);
      });
}

void http_session::OnWritten(const error_code& failure) {
  if (phase_ == phase::kClosed)
    return;
  if (failure)
    return Close();
  if (!serializer_->is_done())
    return WriteSome();
  timer_.Stop();
  serializer_.reset();
  message_.reset();
  if (!outgoing_.empty())
    return WriteNext();
  if (phase_ == phase::kResponding)
    OnResponseSent();
}

void http_session::OnResponseSent() {
  EndRequest();
  if (!keep_alive_ || peer_closed_ || server_->draining)
    return Linger();
  ReadRequest();
}

// ---- Ending ---------------------------------------------------------------

void http_session::Linger() {
  phase_ = phase::kLingering;
  error_code failure;
  socket_.shutdown(socket::shutdown_send, failure);
  if (failure || peer_closed_)
    return Close();
  timer_.Start(kLingerTimeout, [self = shared_from_this()] { self->Close(); });
  if (read_pending_)
    return;
  buffer_.clear();
  ReadSome();
}

void http_session::Close() {
  if (phase_ == phase::kClosed)
    return;
  phase_ = phase::kClosed;
  timer_.Stop();
  error_code ignored;
  socket_.close(ignored);
  NotifyDisconnect();
  EndRequest();
  EndServing();
}

void http_session::NotifyDisconnect() {
  const auto callback = std::exchange(on_disconnect_, nullptr);
  if (callback)
    callback();
}

void http_session::EndRequest() {
  if (std::exchange(request_open_, false))
    --server_->open_requests;
}

void http_session::EndServing() {
  if (std::exchange(serving_, false))
    --server_->served_connections;
}

}  // namespace egretrack::net
