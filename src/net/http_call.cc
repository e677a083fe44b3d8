#include "net/http_call.h"

#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace egretrack::net {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

// Room for the bytes of one read behind a header of the largest size.
constexpr std::size_t kReadBufferBytes = 4096;
constexpr unsigned kFirstFinalStatus = 200;

std::error_code ToErrc(const boost::system::error_code& failure) {
  if (failure == http::error::body_limit ||
      failure == http::error::header_limit ||
      failure == http::error::buffer_overflow)
    return errc::kTooLarge;
  const bool truncated = failure == http::error::end_of_stream ||
                         failure == http::error::partial_message;
  const auto& http_category =
      make_error_code(http::error::end_of_stream).category();
  if (failure.category() == http_category && !truncated)
    return errc::kParseFailed;
  return errc::kUnavailable;
}

}  // namespace

std::vector<std::shared_ptr<http_call>> http_client_state::OpenCalls() {
  std::vector<std::shared_ptr<http_call>> open;
  const std::lock_guard lock(mutex);
  for (http_call* const call : calls) {
    if (auto locked = call->weak_from_this().lock())
      open.push_back(std::move(locked));
  }
  return open;
}

void http_client_state::RecordSilence(const std::string& address,
                                      monotonic_time due_at) {
  pool.RecordSilence(address, due_at);
  if (!options.end_silent_calls)
    return;
  for (const auto& call : OpenCalls())
    call->EndIfSilent(address);
}

http_call::http_call(std::shared_ptr<http_client_state> client,
                     const tcp_address& address,
                     http_request request,
                     call_limits limits,
                     http_client::callback done)
    : client_(std::move(client)),
      address_(address),
      address_text_(address.ToString()),
      limits_(limits),
      done_(std::move(done)),
      socket_(AcquireConnection()),
      call_timer_(socket_.get_executor()),
      connect_timer_(socket_.get_executor()),
      message_(ToBeast(std::move(request), address)),
      serializer_(message_),
      // Bounds a header, a chunk extension or a trailer of the response.
      buffer_(client_->options.max_header_bytes + kReadBufferBytes) {
  const std::lock_guard lock(client_->mutex);
  client_->calls.insert(this);
}

http_call::~http_call() {
  const std::lock_guard lock(client_->mutex);
  client_->calls.erase(this);
}

http_call::socket http_call::AcquireConnection() {
  auto idle = client_->pool.Acquire(address_text_);
  reused_ = idle.has_value();
  if (reused_) {
    received_at_ = idle->received_at;
    return std::move(idle->connection);
  }
  return socket(asio::make_strand(client_->io.context()));
}

void http_call::Start() {
  asio::post(socket_.get_executor(),
             [self = shared_from_this()] { self->Begin(); });
}

void http_call::Abort() {
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    self->Fail(errc::kUnavailable, "the client is shutting down");
  });
}

void http_call::EndIfSilent(const std::string& address) {
  if (address != address_text_)
    return;
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    if (self->IsUnanswered() &&
        !self->client_->pool.IsAlive(self->address_text_, self->received_at_))
      self->Fail(errc::kTimeout, "the connection went silent");
  });
}

void http_call::Begin() {
  if (client_->stopping)
    return Fail(errc::kUnavailable, "the client is shutting down");
  if (limits_.timeout.count() > 0) {
    call_timer_.Start(limits_.timeout,
                      [self = shared_from_this()] { self->OnTimeout(); });
  }
  began_at_ = monotonic_clock::now();
  if (!reused_)
    return Connect();
  // The connection may have been presumed dead since it was taken.
  if (!client_->pool.IsAlive(address_text_, received_at_))
    return ReplaceConnection();
  WriteSome();
}

void http_call::ReplaceConnection() {
  reused_ = false;
  socket_ = socket(socket_.get_executor());
  Connect();
}

// A process that stood still finds its timer due before it has read what came
// meanwhile, so bytes that wait to be read count as received.
bool http_call::IsUnanswered() const {
  error_code failure;
  return done_ && stage_ == call_stage::kSent && !response_began_ &&
         socket_.available(failure) == 0;
}

void http_call::OnTimeout() {
  if (IsUnanswered())
    client_->RecordSilence(address_text_, began_at_ + limits_.hold);
  Fail(errc::kTimeout, "no response in time");
}

void http_call::Connect() {
  error_code failure;
  const auto ip = asio::ip::make_address(address_.host, failure);
  if (failure)
    return Fail(errc::kInvalidArgument, "not an IP address");
  connect_timer_.Start(
      client_->options.connect_timeout, [self = shared_from_this()] {
        self->Fail(errc::kTimeout, "connection not established in time");
      });
  socket_.async_connect(tcp::endpoint(ip, address_.port),
                        [self = shared_from_this()](const error_code& error) {
                          self->OnConnected(error);
                        });
}

void http_call::OnConnected(const error_code& failure) {
  if (!done_)
    return;
  connect_timer_.Stop();
  if (failure)
    return Fail(errc::kUnavailable, "connect: " + failure.message());
  received_at_ = monotonic_clock::now();
  error_code ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
  WriteSome();
}

void http_call::WriteSome() {
  // Set before the write completes: if the call ends while the write is
  // pending, it is unknown whether bytes were sent.
  stage_ = call_stage::kSent;
  http::async_write_some(
      socket_, serializer_,
      [self = shared_from_this()](const error_code& failure, std::size_t size) {
        self->OnWritten(failure, size);
      });
}

void http_call::OnWritten(const error_code& failure, std::size_t size) {
  if (!done_)
    return;
  bytes_written_ += size;
  if (bytes_written_ == 0)
    stage_ = call_stage::kNotSent;
  if (failure && reused_ && bytes_written_ == 0)
    return ReplaceConnection();
  if (failure)
    return Fail(errc::kUnavailable, "send: " + failure.message());
  if (!serializer_.is_done())
    return WriteSome();
  ReadHeader();
}

void http_call::ReadHeader() {
  parser_.emplace();
  parser_->header_limit(client_->options.max_header_bytes);
  parser_->body_limit(client_->options.max_response_bytes);
  http::async_read_header(
      socket_, buffer_, *parser_,
      [self = shared_from_this()](const error_code& failure, std::size_t) {
        self->OnHeader(failure);
      });
}

void http_call::OnHeader(const error_code& failure) {
  if (!done_)
    return;
  if (failure)
    return Fail(ToErrc(failure), "receive: " + failure.message());
  response_began_ = true;
  client_->pool.RecordLife(address_text_);
  if (parser_->get().result_int() < kFirstFinalStatus)
    return ReadHeader();
  // Without a length or chunked encoding, a complete body can't be told from a
  // truncated one.
  if (parser_->need_eof())
    return Fail(errc::kParseFailed, "receive: response without a length");
  http::async_read(
      socket_, buffer_, *parser_,
      [self = shared_from_this()](const error_code& error, std::size_t) {
        self->OnResponse(error);
      });
}

void http_call::OnResponse(const error_code& failure) {
  if (!done_)
    return;
  if (failure)
    return Fail(ToErrc(failure), "receive: " + failure.message());
  Succeed();
}

void http_call::Fail(std::error_code code, std::string_view reason) {
  if (!done_)
    return;
  error_code ignored;
  socket_.close(ignored);
  http_reply reply;
  reply.failure = {MakeError(code, address_text_ + ": " + std::string(reason)),
                   stage_};
  Finish(std::move(reply));
}

void http_call::Succeed() {
  const bool reusable = parser_->get().keep_alive() && message_.keep_alive() &&
                        buffer_.size() == 0 && !client_->stopping;
  http_reply reply;
  reply.ok = true;
  reply.response = FromBeast(parser_->release());
  if (reusable)
    client_->pool.Release(address_text_, std::move(socket_));
  Finish(std::move(reply));
}

void http_call::Finish(http_reply reply) {
  call_timer_.Stop();
  connect_timer_.Stop();
  const auto done = std::exchange(done_, nullptr);
  done(std::move(reply));
}

}  // namespace egretrack::net
