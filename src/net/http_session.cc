#include "net/http_session.h"

#include <algorithm>
#include <exception>
#include <functional>
#include <string>
#include <utility>

#include <poll.h>

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/write.hpp>

#include "net/connection_ledger.h"

namespace egretrack::net {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr std::size_t kReadBufferBytes = 4096;
// Encoded bytes of a body that is sent in chunks of one byte, per byte.
constexpr std::size_t kMaxChunkOverhead = 6;
// Time for which input is discarded after the last response. Closing a socket
// with unread input resets the connection, and the peer could lose the
// response.
constexpr milliseconds kLingerTimeout{1000};

// Between two looks at a connection with unread input. A caller that has left
// sends its job to another entry more than a second later.
constexpr milliseconds kUnreadCheckInterval{100};

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
                   monotonic_time sent_after,
                   monotonic_time connection_checked_at,
                   bool was_disconnected)
      : session_(std::move(session)),
        request_number_(request_number),
        request_(std::move(request)),
        sent_after_(sent_after),
        connection_checked_at_(connection_checked_at),
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

  monotonic_time sent_after() const override { return sent_after_; }

  monotonic_time connection_checked_at() const override {
    return connection_checked_at_;
  }

  void CheckConnection(std::function<void(monotonic_time)> open) override {
    session_->CheckConnection(request_number_, std::move(open));
  }

  void DiscardBody() override {
    std::string().swap(request_.body);
    session_->ReportBodyDiscarded(request_number_);
  }

 private:
  const std::shared_ptr<http_session> session_;
  const std::uint64_t request_number_;
  http_request request_;
  const monotonic_time sent_after_;
  const monotonic_time connection_checked_at_;
  const bool was_disconnected_;
  std::atomic<bool> responded_ = false;
};

}  // namespace

http_session::http_session(std::shared_ptr<http_server_state> server,
                           socket connection)
    : server_(std::move(server)),
      socket_(std::move(connection)),
      timer_(socket_.get_executor()),
      // Bounds a header, a chunk extension or a trailer. A body does not stay
      // in this buffer.
      buffer_(server_->limits.header_bytes + kReadBufferBytes) {
  const std::lock_guard lock(server_->mutex);
  server_->sessions.insert(this);
}

http_session::~http_session() {
  EndRequest();
  EndServing();
  LeaveGuard();
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
                 std::invoke(action, *self);
             });
}

bool http_session::Admit() {
  const auto& guard = server_->limits.guard;
  if (!guard)
    return server_->served_connections < server_->limits.connections;
  guard_number_ = guard->Open(server_.get(), server_->limits.connections,
                              [weak = weak_from_this()] {
                                const auto self = weak.lock();
                                if (self)
                                  self->PostToStrand(&http_session::Close);
                              });
  return guard_number_.has_value();
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

void http_session::Enter(phase next, std::size_t held_bytes) {
  phase_ = next;
  if (!guard_number_)
    return;
  connection_phase reported = connection_phase::kSending;
  if (next == phase::kReceiving)
    reported = connection_phase::kReceiving;
  else if (next == phase::kWaiting)
    reported = connection_phase::kServing;
  else if (next == phase::kIdle && request_number_ > 0)
    reported = connection_phase::kIdle;
  else if (next == phase::kIdle)
    reported = connection_phase::kReceiving;
  server_->limits.guard->Update(*guard_number_, reported, held_bytes);
}

void http_session::CountLimit(traffic_limit limit) {
  if (server_->limits.guard)
    server_->limits.guard->Count(limit);
}

void http_session::ReadRequest() {
  if (server_->stopping)
    return Close();
  parser_.emplace();
  parser_->header_limit(server_->limits.header_bytes);
  parser_->body_limit(server_->limits.body_bytes);
  header_read_ = false;
  request_bytes_ = buffer_.size();
  if (buffer_.size() > 0)
    return BeginRequest();
  // A pending read uses the memory of the buffer.
  if (!read_pending_)
    buffer_.shrink_to_fit();
  Enter(phase::kIdle, 0);
  timer_.Start(server_->limits.idle_timeout,
               [self = shared_from_this()] { self->Close(); });
  if (!read_pending_)
    ReadSome();
}

// The only read of a session. One that started while a request awaited its
// response continues as the read for the next request.
void http_session::ReadSome() {
  read_pending_ = true;
  const std::size_t size =
      std::min(kReadBufferBytes, buffer_.max_size() - buffer_.size());
  socket_.async_read_some(
      buffer_.prepare(size),
      [self = shared_from_this()](const error_code& failure, std::size_t size) {
        self->OnSomeRead(failure, size);
      });
}

void http_session::OnSomeRead(const error_code& failure, std::size_t size) {
  read_pending_ = false;
  buffer_.commit(size);
  switch (phase_) {
    case phase::kIdle:
      request_bytes_ += size;
      return failure ? Close() : BeginRequest();
    case phase::kReceiving:
      request_bytes_ += size;
      return failure ? OnReceiveFailure(failure) : ParseInput();
    case phase::kWaiting:
    case phase::kResponding:
      return OnInputWhileWaiting(failure);
    case phase::kLingering:
      buffer_.clear();
      return failure ? Close() : ReadSome();
    case phase::kClosed:
      return;
  }
}

void http_session::OnInputWhileWaiting(const error_code& failure) {
  if (failure)
    OnPeerClosed();
  // The input is the start of a pipelined request and stays in the buffer. No
  // further read is started until the current response is sent, so that
  // requests are read one at a time.
  if (!failure && phase_ == phase::kWaiting)
    WatchUnreadConnection();
}

void http_session::BeginRequest() {
  request_began_ = monotonic_clock::now();
  const microseconds receive_timeout = server_->limits.receive_timeout;
  timer_.Start(
      std::min<microseconds>(server_->limits.header_timeout, receive_timeout),
      [self = shared_from_this()] { self->OnHeaderTimeout(); });
  Enter(phase::kReceiving, request_bytes_);
  ParseInput();
}

// Both timers count from the first byte of the request, so that a trickle of
// bytes does not extend them.
void http_session::OnHeaderTimeout() {
  OnReceiveTimeout(traffic_limit::kHeaderTime);
}

void http_session::OnReceiveTimeout(traffic_limit limit) {
  CountLimit(limit);
  if (awaits_continue_)
    return Close();
  SendErrorResponse(408, "request_timeout", "the request was not sent in time");
}

void http_session::ParseInput() {
  while (ParsePart()) {
  }
}

bool http_session::ParsePart() {
  if (phase_ != phase::kReceiving || awaits_continue_)
    return false;
  parser_->eager(header_read_);
  error_code failure;
  if (buffer_.size() > 0 && !parser_->is_done())
    buffer_.consume(parser_->put(buffer_.data(), failure));
  if (failure && failure != http::error::need_more) {
    OnReceiveFailure(failure);
    return false;
  }
  if (!header_read_ && parser_->is_header_done()) {
    OnHeader();
    return true;
  }
  if (header_read_ && parser_->is_done()) {
    timer_.Stop();
    InvokeHandler();
    return false;
  }
  const bool starved = failure == http::error::need_more || buffer_.size() == 0;
  if (!starved)
    return true;
  if (request_bytes_ > MaxRequestBytes() ||
      buffer_.size() >= buffer_.max_size()) {
    CountLimit(traffic_limit::kRequestBytes);
    SendErrorResponse(413, "request_too_large",
                      "the request is too large for its body");
    return false;
  }
  Enter(phase::kReceiving, HeldRequestBytes());
  if (!read_pending_ && phase_ == phase::kReceiving)
    ReadSome();
  return false;
}

void http_session::OnHeader() {
  header_read_ = true;
  const microseconds elapsed = monotonic_clock::now() - request_began_;
  const microseconds left = server_->limits.receive_timeout - elapsed;
  timer_.Start(std::max(left, microseconds(0)), [self = shared_from_this()] {
    self->OnReceiveTimeout(traffic_limit::kRequestTime);
  });
  const auto& message = parser_->get();
  const bool expects_continue =
      message.version() >= 11 &&
      boost::beast::iequals(message[http::field::expect], "100-continue");
  if (!expects_continue)
    return;
  awaits_continue_ = true;
  asio::async_write(
      socket_, asio::buffer(kContinue),
      [self = shared_from_this()](const error_code& error, std::size_t) {
        self->awaits_continue_ = false;
        if (self->phase_ == phase::kReceiving)
          return error ? self->Close() : self->ParseInput();
      });
}

void http_session::OnReceiveFailure(const error_code& failure) {
  if (failure == http::error::body_limit) {
    CountLimit(traffic_limit::kBodyBytes);
    return SendErrorResponse(413, "body_too_large",
                             "the body of the request is too large");
  }
  if (failure == http::error::header_limit) {
    CountLimit(traffic_limit::kHeaderBytes);
    return SendErrorResponse(431, "header_too_large",
                             "the header of the request is too large");
  }
  const bool invalid =
      failure == asio::error::eof ||
      failure.category() == make_error_code(http::error::bad_method).category();
  if (!invalid)
    return Close();
  SendErrorResponse(400, "malformed_request", "the request is not valid HTTP");
}

// No encoding of a body within its limit needs more, unless the caller adds
// chunk extensions or trailers that exceed the limit of a header.
std::size_t http_session::MaxRequestBytes() const {
  return 2 * std::size_t{server_->limits.header_bytes} +
         kMaxChunkOverhead * server_->limits.body_bytes + kReadBufferBytes;
}

std::size_t http_session::HeldRequestBytes() const {
  return buffer_.capacity() +
         (header_read_ ? parser_->get().body().size() : 0) +
         std::min<std::size_t>(request_bytes_, server_->limits.header_bytes);
}

// A process that was suspended reads a request whose caller may have given up
// long ago and has sent it to another process.
bool http_session::HasPeerClosed() {
  char next = 0;
  error_code failure;
  socket_.receive(asio::buffer(&next, 1), socket::message_peek, failure);
  if (failure)
    return failure == asio::error::eof ||
           failure == asio::error::connection_reset;
  // Input that is left to be read hides the end of the connection behind it.
  pollfd state{};
  state.fd = socket_.native_handle();
  state.events = POLLRDHUP;
  return ::poll(&state, 1, 0) > 0 &&
         (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

// While input is left to be read, no read is pending that would end with the
// connection.
void http_session::WatchUnreadConnection() {
  timer_.Start(kUnreadCheckInterval, [self = shared_from_this()] {
    if (self->phase_ != phase::kWaiting)
      return;
    if (!self->HasPeerClosed())
      return self->WatchUnreadConnection();
    self->OnPeerClosed();
  });
}

void http_session::InvokeHandler() {
  beast_request message = parser_->release();
  keep_alive_ = message.keep_alive();
  format_ = {.version = message.version(),
             .keep_alive = keep_alive_,
             .omit_body = message.method() == http::verb::head};
  ++request_number_;
  const std::size_t body_bytes = message.body().size();
  Enter(phase::kWaiting, body_bytes);
  request_open_ = true;
  ++server_->open_requests;
  // Taken before the look, which may wait for this process to be resumed.
  const monotonic_time checked_at = monotonic_clock::now();
  const bool peer_closed = HasPeerClosed();
  if (buffer_.size() == 0)
    ReadSome();
  else
    WatchUnreadConnection();
  const auto exchange = std::make_shared<session_exchange>(
      shared_from_this(), request_number_, FromBeast(std::move(message)),
      sent_after_, checked_at, peer_closed);
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

void http_session::ReportBodyDiscarded(std::uint64_t request_number) {
  PostToStrand([request_number](http_session& self) {
    if (self.request_number_ == request_number &&
        self.phase_ == phase::kWaiting)
      self.Enter(phase::kWaiting, 0);
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

void http_session::CheckConnection(std::uint64_t request_number,
                                   std::function<void(monotonic_time)> open) {
  PostToStrand(
      [request_number, open = std::move(open)](http_session& self) mutable {
        if (self.request_number_ != request_number ||
            self.phase_ != phase::kWaiting)
          return;
        const monotonic_time checked_at = monotonic_clock::now();
        if (!self.peer_closed_ && !self.HasPeerClosed())
          return open(checked_at);
        self.OnPeerClosed();
      });
}

void http_session::SendFinal(http_response response) {
  on_disconnect_ = nullptr;
  // A caller that does not pipeline sends its next request after the response.
  // A pipelined one may be as old as the request before it.
  error_code ignored;
  if (buffer_.size() == 0 && socket_.available(ignored) == 0)
    sent_after_ = monotonic_clock::now();
  Enter(phase::kResponding, response.body.size());
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
  timer_.Start(server_->limits.send_timeout, [self = shared_from_this()] {
    self->CountLimit(traffic_limit::kSendTime);
    self->Close();
  });
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
  if (phase_ == phase::kWaiting && buffer_.size() > 0)
    WatchUnreadConnection();
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
  Enter(phase::kLingering, 0);
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
  LeaveGuard();
}

void http_session::LeaveGuard() {
  if (guard_number_)
    server_->limits.guard->Close(*std::exchange(guard_number_, std::nullopt));
}

// The peer may have closed only its sending side, so the response is still
// sent.
void http_session::OnPeerClosed() {
  peer_closed_ = true;
  NotifyDisconnect();
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
