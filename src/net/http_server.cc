#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include "egretrack/net/http.h"
#include "net/http_session.h"

namespace egretrack::net {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

// Delay after a failed accept, for example if no file descriptor is available.
constexpr milliseconds kAcceptRetryDelay{100};
// Connections beyond the limit that get a 503 response. Any further ones are
// closed without a response.
constexpr std::size_t kMaxRejectedConnections = 16;

// Accepts connections. Its pending operation keeps it alive.
class listener : public std::enable_shared_from_this<listener> {
 public:
  explicit listener(std::shared_ptr<http_server_state> server)
      : server_(std::move(server)),
        acceptor_(asio::make_strand(server_->io.context())),
        retry_timer_(acceptor_.get_executor()) {}

  error_code Bind(const tcp_address& address) {
    error_code failure;
    const auto ip = asio::ip::make_address(address.host, failure);
    if (failure)
      return failure;
    const tcp::endpoint endpoint(ip, address.port);
    acceptor_.open(endpoint.protocol(), failure);
    if (failure)
      return failure;
    acceptor_.set_option(tcp::acceptor::reuse_address(true), failure);
    if (failure)
      return failure;
    acceptor_.bind(endpoint, failure);
    return failure;
  }

  error_code Listen() {
    error_code failure;
    acceptor_.listen(tcp::socket::max_listen_connections, failure);
    return failure;
  }

  tcp::endpoint local_endpoint() const { return acceptor_.local_endpoint(); }

  void Start() {
    asio::post(acceptor_.get_executor(),
               [self = shared_from_this()] { self->Accept(); });
  }

  void Stop() {
    asio::post(acceptor_.get_executor(), [self = shared_from_this()] {
      error_code ignored;
      self->acceptor_.close(ignored);
      self->retry_timer_.cancel();
    });
  }

 private:
  void Accept() {
    if (!acceptor_.is_open())
      return;
    acceptor_.async_accept(
        asio::make_strand(server_->io.context()),
        [self = shared_from_this()](const error_code& failure,
                                    tcp::socket connection) {
          self->OnAccepted(failure, std::move(connection));
        });
  }

  void OnAccepted(const error_code& failure, tcp::socket connection) {
    if (!acceptor_.is_open())
      return;
    if (failure)
      return RetryAcceptLater();
    Serve(std::move(connection));
    Accept();
  }

  void RetryAcceptLater() {
    retry_timer_.expires_after(kAcceptRetryDelay);
    retry_timer_.async_wait(
        [self = shared_from_this()](const error_code& failure) {
          if (!failure)
            self->Accept();
        });
  }

  void Serve(tcp::socket connection) {
    const std::size_t limit = server_->limits.connections;
    if (CountSessions() >= limit + kMaxRejectedConnections)
      return;  // Destroying the socket closes it.
    const auto session =
        std::make_shared<http_session>(server_, std::move(connection));
    if (!session->Admit())
      return session->Reject();
    session->Start();
  }

  std::size_t CountSessions() const {
    const std::lock_guard lock(server_->mutex);
    return server_->sessions.size();
  }

  const std::shared_ptr<http_server_state> server_;
  tcp::acceptor acceptor_;
  asio::steady_timer retry_timer_;
};

class http_server_impl final : public http_server {
 public:
  http_server_impl(std::shared_ptr<http_server_state> state,
                   std::shared_ptr<listener> acceptor)
      : state_(std::move(state)), listener_(std::move(acceptor)) {
    const tcp::endpoint endpoint = listener_->local_endpoint();
    address_ = {endpoint.address().to_string(), endpoint.port()};
  }

  http_server_impl(const http_server_impl&) = delete;
  http_server_impl& operator=(const http_server_impl&) = delete;

  ~http_server_impl() override {
    // Set before the sessions are listed, so that a session that is not in the
    // list yet checks the flag before it reads.
    state_->stopping = true;
    listener_->Stop();
    ForEachSession(&http_session::Abort);
    state_->io.Finish();
  }

  tcp_address local_address() const override { return address_; }

  result<void> StartAccepting() override {
    const error_code failure = listener_->Listen();
    if (failure)
      return MakeError(failure, "listen at " + address_.ToString());
    listener_->Start();
    return {};
  }

  void Drain() override {
    state_->draining = true;
    listener_->Stop();
    ForEachSession(&http_session::Drain);
  }

  void DisableKeepAlive() override { state_->keep_alive_disabled = true; }

  bool idle() const override { return state_->open_requests == 0; }

 private:
  // Skips sessions that are being destroyed, as weak_from_this() can't be
  // locked for them.
  void ForEachSession(void (http_session::*action)()) {
    std::vector<std::shared_ptr<http_session>> sessions;
    {
      const std::lock_guard lock(state_->mutex);
      for (http_session* const session : state_->sessions) {
        if (auto locked = session->weak_from_this().lock())
          sessions.push_back(std::move(locked));
      }
    }
    for (const auto& session : sessions)
      ((*session).*action)();
  }

  const std::shared_ptr<http_server_state> state_;
  const std::shared_ptr<listener> listener_;
  tcp_address address_;
};

}  // namespace

result<std::unique_ptr<http_server>> http_server::Listen(
    const tcp_address& address,
    unsigned threads,
    http_limits limits,
    handler on_request) {
  auto bound = Bind(address, threads, std::move(limits), std::move(on_request));
  if (!bound)
    return bound;
  if (const auto open = (*bound)->StartAccepting(); !open)
    return open.error();
  return bound;
}

result<std::unique_ptr<http_server>> http_server::Bind(
    const tcp_address& address,
    unsigned threads,
    http_limits limits,
    handler on_request) {
  auto state = std::make_shared<http_server_state>(threads, std::move(limits),
                                                   std::move(on_request));
  auto acceptor = std::make_shared<listener>(state);
  const error_code failure = acceptor->Bind(address);
  if (failure)
    return MakeError(failure, "listen at " + address.ToString());
  return std::make_unique<http_server_impl>(std::move(state),
                                            std::move(acceptor));
}

}  // namespace egretrack::net
