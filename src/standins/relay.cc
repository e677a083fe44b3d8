#include "standins/relay.h"

#include <sys/socket.h>

#include <array>
#include <functional>
#include <future>
#include <list>
#include <memory>
#include <span>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

namespace egretrack::standins {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t kBufferBytes = 65536;

tcp::endpoint Loopback(std::uint16_t port) {
  return {asio::ip::address_v4::loopback(), port};
}

// Binds to a free port by its number: the system keeps only such a port for a
// socket that stops listening.
tcp::acceptor ListenOnFreePort(asio::io_context& context) {
  for (;;) {
    const std::uint16_t port =
        tcp::acceptor(context, Loopback(0)).local_endpoint().port();
    tcp::acceptor acceptor(context, tcp::v4());
    error_code in_use;
    acceptor.set_option(tcp::acceptor::reuse_address(true), in_use);
    acceptor.bind(Loopback(port), in_use);
    if (in_use)
      continue;
    acceptor.listen();
    return acceptor;
  }
}

// One direction of a connection: its source, its sink and the bytes in transit.
struct traffic_direction {
  traffic_direction(tcp::socket& from, tcp::socket& to)
      : source(from), sink(to), timer(from.get_executor()) {}

  tcp::socket& source;
  tcp::socket& sink;
  asio::steady_timer timer;
  std::array<char, kBufferBytes> buffer{};
  std::size_t held_bytes = 0;  // Of `buffer`, while the relay holds.
};

// How a relay modifies the traffic of its connections.
struct relay_settings {
  milliseconds delay{0};
  bool duplicate = false;
  bool holding = false;
};

// A client connection and its connection to the target. Pending operations keep
// the object alive.
class connection : public std::enable_shared_from_this<connection> {
 public:
  connection(tcp::socket client, std::shared_ptr<const relay_settings> settings)
      : client_(std::move(client)),
        target_(client_.get_executor()),
        settings_(std::move(settings)),
        client_to_target_(client_, target_),
        target_to_client_(target_, client_) {}

  void Connect(std::uint16_t port) {
    target_.async_connect(Loopback(port),
                          [self = shared_from_this()](const error_code& code) {
                            if (code) {
                              self->Close();
                              return;
                            }
                            self->SetOptions();
                            self->Read(self->client_to_target_);
                            self->Read(self->target_to_client_);
                          });
  }

  // Discards all bytes from the start, without a connection to the target.
  void DiscardAll() {
    blackholed_ = true;
    Read(client_to_target_);
  }

  void Blackhole() { blackholed_ = true; }

  // Delivers what was held. Ends are read only afterwards.
  void Release(milliseconds end_delay) {
    for (auto* direction : {&client_to_target_, &target_to_client_}) {
      const std::size_t size = std::exchange(direction->held_bytes, 0);
      if (size > 0)
        WriteBeforeEnd(*direction, size, end_delay);
    }
    if (!closed_while_held_)
      return;
    client_to_target_.timer.expires_after(end_delay);
    client_to_target_.timer.async_wait(
        [self = shared_from_this()](const error_code& code) {
          if (!code)
            self->Close();
        });
  }

  void Close() {
    error_code ignored;
    client_.close(ignored);
    target_.close(ignored);
    client_to_target_.timer.cancel();
    target_to_client_.timer.cancel();
  }

  // Without lingering, a close resets the connection.
  void Reset() {
    error_code ignored;
    client_.set_option(asio::socket_base::linger(true, 0), ignored);
    target_.set_option(asio::socket_base::linger(true, 0), ignored);
    Close();
  }

  bool forwarding() const { return !blackholed_ && target_.is_open(); }
  bool open() const { return client_.is_open() || target_.is_open(); }

 private:
  void SetOptions() {
    error_code ignored;
    client_.set_option(tcp::no_delay(true), ignored);
    target_.set_option(tcp::no_delay(true), ignored);
  }

  void Read(traffic_direction& direction) {
    direction.source.async_read_some(
        asio::buffer(direction.buffer),
        [self = shared_from_this(), &direction](const error_code& code,
                                                std::size_t size) {
          if (code)
            self->HandleClosed(direction);
          else
            self->HandleBytes(direction, size);
        });
  }

  // A blackholed connection does not notify the other side of the close.
  void HandleClosed(traffic_direction& direction) {
    if (settings_->holding && !blackholed_) {
      closed_while_held_ = true;
      return;
    }
    if (!blackholed_) {
      Close();
      return;
    }
    error_code ignored;
    direction.source.close(ignored);
  }

  void HandleBytes(traffic_direction& direction, std::size_t size) {
    if (blackholed_) {
      Read(direction);
      return;
    }
    // Without a read, the end of the connection is not noticed either.
    if (settings_->holding) {
      direction.held_bytes = size;
      return;
    }
    if (settings_->delay.count() == 0) {
      Write(direction, size);
      return;
    }
    direction.timer.expires_after(settings_->delay);
    direction.timer.async_wait(
        [self = shared_from_this(), &direction, size](const error_code& code) {
          if (!code)
            self->Write(direction, size);
        });
  }

  void Write(traffic_direction& direction, std::size_t size) {
    if (blackholed_) {
      Read(direction);
      return;
    }
    const asio::const_buffer bytes(direction.buffer.data(), size);
    const std::array<asio::const_buffer, 2> copies = {
        bytes, settings_->duplicate ? bytes : asio::const_buffer()};
    asio::async_write(direction.sink, copies,
                      [self = shared_from_this(), &direction](
                          const error_code& code, std::size_t) {
                        if (code)
                          self->HandleClosed(direction);
                        else
                          self->Read(direction);
                      });
  }

  void WriteBeforeEnd(traffic_direction& direction,
                      std::size_t size,
                      milliseconds end_delay) {
    asio::async_write(direction.sink,
                      asio::buffer(direction.buffer.data(), size),
                      [self = shared_from_this(), &direction, end_delay](
                          const error_code& code, std::size_t) {
                        if (code)
                          return self->HandleClosed(direction);
                        direction.timer.expires_after(end_delay);
                        direction.timer.async_wait(
                            [self, &direction](const error_code& cancelled) {
                              if (!cancelled)
                                self->Read(direction);
                            });
                      });
  }

  tcp::socket client_;
  tcp::socket target_;
  std::shared_ptr<const relay_settings> settings_;
  traffic_direction client_to_target_;
  traffic_direction target_to_client_;
  bool blackholed_ = false;
  bool closed_while_held_ = false;
};

// State of a relay, accessed by the hub's thread only.
class relay_state : public std::enable_shared_from_this<relay_state> {
 public:
  explicit relay_state(asio::io_context& context)
      : acceptor_(ListenOnFreePort(context)) {}

  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

  void Accept() {
    acceptor_.async_accept([self = shared_from_this()](const error_code& code,
                                                       tcp::socket socket) {
      if (code)
        return;
      self->Add(std::move(socket));
      self->Accept();
    });
  }

  void SetTarget(std::uint16_t port) { target_ = port; }
  void SetBlackholeNew(bool enabled) { blackhole_new_ = enabled; }
  void SetDelay(milliseconds delay) { settings_->delay = delay; }
  void SetDuplicate(bool enabled) { settings_->duplicate = enabled; }

  void Hold(bool enabled, milliseconds end_delay) {
    if (!std::exchange(settings_->holding, enabled) || enabled)
      return;
    for (const auto& item : connections_)
      item->Release(end_delay);
  }

  void CloseConnections() {
    for (const auto& item : connections_)
      item->Close();
    connections_.clear();
  }

  void ResetConnections() {
    for (const auto& item : connections_)
      item->Reset();
    connections_.clear();
  }

  // The socket stays bound while it does not listen, so that no other socket
  // gets its port.
  void SetRefuse(bool enabled) {
    if (enabled == refusing_)
      return;
    refusing_ = enabled;
    if (enabled) {
      ::shutdown(acceptor_.native_handle(), SHUT_RDWR);
      return;
    }
    acceptor_.listen();
    Accept();
  }

  void BlackholeConnections() {
    for (const auto& item : connections_)
      item->Blackhole();
  }

  std::size_t CountForwarding() const {
    std::size_t count = 0;
    for (const auto& item : connections_)
      count += item->forwarding() ? 1 : 0;
    return count;
  }

  void Close() {
    error_code ignored;
    acceptor_.close(ignored);
    CloseConnections();
  }

 private:
  void Add(tcp::socket socket) {
    connections_.remove_if([](const auto& item) { return !item->open(); });
    if (target_ == 0 && !blackhole_new_)
      return;
    auto added = std::make_shared<connection>(std::move(socket), settings_);
    connections_.push_back(added);
    if (blackhole_new_)
      added->DiscardAll();
    else
      added->Connect(target_);
  }

  tcp::acceptor acceptor_;
  std::list<std::shared_ptr<connection>> connections_;
  std::uint16_t target_ = 0;
  bool blackhole_new_ = false;
  bool refusing_ = false;
  std::shared_ptr<relay_settings> settings_ =
      std::make_shared<relay_settings>();
};

class relay_impl final : public relay {
 public:
  relay_impl(asio::io_context& context, std::shared_ptr<relay_state> state)
      : context_(context), state_(std::move(state)), port_(state_->port()) {
    RunOnHubThread([this] { state_->Accept(); });
  }
  ~relay_impl() override {
    RunOnHubThread([this] { state_->Close(); });
  }

  std::uint16_t port() const override { return port_; }
  void SetTarget(std::uint16_t port) override {
    RunOnHubThread([this, port] { state_->SetTarget(port); });
  }
  void CloseConnections() override {
    RunOnHubThread([this] { state_->CloseConnections(); });
  }
  void ResetConnections() override {
    RunOnHubThread([this] { state_->ResetConnections(); });
  }
  void RefuseConnections(bool enabled) override {
    RunOnHubThread([this, enabled] { state_->SetRefuse(enabled); });
  }
  void BlackholeConnections() override {
    RunOnHubThread([this] { state_->BlackholeConnections(); });
  }
  void BlackholeNewConnections(bool enabled) override {
    RunOnHubThread([this, enabled] { state_->SetBlackholeNew(enabled); });
  }
  void SetDelay(milliseconds delay) override {
    RunOnHubThread([this, delay] { state_->SetDelay(delay); });
  }
  void Hold(bool enabled, milliseconds end_delay) override {
    RunOnHubThread(
        [this, enabled, end_delay] { state_->Hold(enabled, end_delay); });
  }
  void SetDuplicate(bool enabled) override {
    RunOnHubThread([this, enabled] { state_->SetDuplicate(enabled); });
  }
  std::size_t connection_count() const override {
    std::size_t count = 0;
    RunOnHubThread([this, &count] { count = state_->CountForwarding(); });
    return count;
  }

 private:
  void RunOnHubThread(const std::function<void()>& action) const {
    std::promise<void> done;
    asio::post(context_, [&action, &done] {
      action();
      done.set_value();
    });
    done.get_future().wait();
  }

  asio::io_context& context_;
  std::shared_ptr<relay_state> state_;
  std::uint16_t port_;
};

class relay_hub_impl final : public relay_hub {
 public:
  relay_hub_impl() : work_(context_.get_executor()) {
    thread_ = std::thread([this] { context_.run(); });
  }
  ~relay_hub_impl() override {
    work_.reset();
    context_.stop();
    thread_.join();
  }

  std::unique_ptr<relay> Open() override {
    return std::make_unique<relay_impl>(
        context_, std::make_shared<relay_state>(context_));
  }

 private:
  asio::io_context context_;
  asio::executor_work_guard<asio::io_context::executor_type> work_;
  std::thread thread_;
};

}  // namespace

std::unique_ptr<relay_hub> relay_hub::Create() {
  return std::make_unique<relay_hub_impl>();
}

}  // namespace egretrack::standins
