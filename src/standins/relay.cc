#include "standins/relay.h"

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

// One direction of a connection: its source, its sink and the bytes between.
struct stream {
  stream(tcp::socket& from, tcp::socket& to)
      : source(from), sink(to), timer(from.get_executor()) {}

  tcp::socket& source;
  tcp::socket& sink;
  asio::steady_timer timer;
  std::array<char, kBufferBytes> buffer{};
};

// What a relay does to the bytes of its connections.
struct relay_orders {
  milliseconds delay{0};
  bool duplicate = false;
};

// A client's connection and the one to the target. Keeps itself alive while
// an operation is pending.
class connection : public std::enable_shared_from_this<connection> {
 public:
  connection(tcp::socket client, std::shared_ptr<const relay_orders> orders)
      : client_(std::move(client)),
        target_(client_.get_executor()),
        orders_(std::move(orders)),
        upward_(client_, target_),
        downward_(target_, client_) {}

  void Connect(std::uint16_t port) {
    target_.async_connect(Loopback(port),
                          [self = shared_from_this()](const error_code& code) {
                            if (code) {
                              self->Close();
                              return;
                            }
                            self->SetOptions();
                            self->Read(self->upward_);
                            self->Read(self->downward_);
                          });
  }

  // Swallows from the start, without a target.
  void Swallow() {
    silent_ = true;
    Read(upward_);
  }

  void Blackhole() { silent_ = true; }

  void Close() {
    error_code ignored;
    client_.close(ignored);
    target_.close(ignored);
    upward_.timer.cancel();
    downward_.timer.cancel();
  }

  bool passing() const { return !silent_ && target_.is_open(); }
  bool open() const { return client_.is_open() || target_.is_open(); }

 private:
  void SetOptions() {
    error_code ignored;
    client_.set_option(tcp::no_delay(true), ignored);
    target_.set_option(tcp::no_delay(true), ignored);
  }

  void Read(stream& part) {
    part.source.async_read_some(asio::buffer(part.buffer),
                                [self = shared_from_this(), &part](
                                    const error_code& code, std::size_t size) {
                                  if (code)
                                    self->HandleEnd(part);
                                  else
                                    self->HandleBytes(part, size);
                                });
  }

  // A silent connection hides the end of one side from the other.
  void HandleEnd(stream& part) {
    if (!silent_) {
      Close();
      return;
    }
    error_code ignored;
    part.source.close(ignored);
  }

  void HandleBytes(stream& part, std::size_t size) {
    if (silent_) {
      Read(part);
      return;
    }
    if (orders_->delay.count() == 0) {
      Write(part, size);
      return;
    }
    part.timer.expires_after(orders_->delay);
    part.timer.async_wait(
        [self = shared_from_this(), &part, size](const error_code& code) {
          if (!code)
            self->Write(part, size);
        });
  }

  void Write(stream& part, std::size_t size) {
    if (silent_) {
      Read(part);
      return;
    }
    const asio::const_buffer bytes(part.buffer.data(), size);
    const std::array<asio::const_buffer, 2> once_or_twice = {
        bytes, orders_->duplicate ? bytes : asio::const_buffer()};
    asio::async_write(part.sink, once_or_twice,
                      [self = shared_from_this(), &part](const error_code& code,
                                                         std::size_t) {
                        if (code)
                          self->HandleEnd(part);
                        else
                          self->Read(part);
                      });
  }

  tcp::socket client_;
  tcp::socket target_;
  std::shared_ptr<const relay_orders> orders_;
  stream upward_;
  stream downward_;
  bool silent_ = false;
};

// State of a relay, touched by the hub's thread only.
class relay_state : public std::enable_shared_from_this<relay_state> {
 public:
  explicit relay_state(asio::io_context& context)
      : acceptor_(context, Loopback(0)) {}

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
  void SetBlocked(bool blocked) { blocked_ = blocked; }
  void SetDelay(milliseconds delay) { orders_->delay = delay; }
  void SetDuplicate(bool duplicate) { orders_->duplicate = duplicate; }

  void CloseConnections() {
    for (const auto& item : connections_)
      item->Close();
    connections_.clear();
  }

  void BlackholeConnections() {
    for (const auto& item : connections_)
      item->Blackhole();
  }

  std::size_t CountPassing() const {
    std::size_t count = 0;
    for (const auto& item : connections_)
      count += item->passing() ? 1 : 0;
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
    if (target_ == 0 && !blocked_)
      return;
    auto added = std::make_shared<connection>(std::move(socket), orders_);
    connections_.push_back(added);
    if (blocked_)
      added->Swallow();
    else
      added->Connect(target_);
  }

  tcp::acceptor acceptor_;
  std::list<std::shared_ptr<connection>> connections_;
  std::uint16_t target_ = 0;
  bool blocked_ = false;
  std::shared_ptr<relay_orders> orders_ = std::make_shared<relay_orders>();
};

class relay_impl final : public relay {
 public:
  relay_impl(asio::io_context& context, std::shared_ptr<relay_state> state)
      : context_(context), state_(std::move(state)), port_(state_->port()) {
    RunOnHub([this] { state_->Accept(); });
  }
  ~relay_impl() override {
    RunOnHub([this] { state_->Close(); });
  }

  std::uint16_t port() const override { return port_; }
  void SetTarget(std::uint16_t port) override {
    RunOnHub([this, port] { state_->SetTarget(port); });
  }
  void CloseConnections() override {
    RunOnHub([this] { state_->CloseConnections(); });
  }
  void BlackholeConnections() override {
    RunOnHub([this] { state_->BlackholeConnections(); });
  }
  void BlackholeNewConnections(bool blocked) override {
    RunOnHub([this, blocked] { state_->SetBlocked(blocked); });
  }
  void SetDelay(milliseconds delay) override {
    RunOnHub([this, delay] { state_->SetDelay(delay); });
  }
  void SetDuplicate(bool duplicate) override {
    RunOnHub([this, duplicate] { state_->SetDuplicate(duplicate); });
  }
  std::size_t connection_count() const override {
    std::size_t count = 0;
    RunOnHub([this, &count] { count = state_->CountPassing(); });
    return count;
  }

 private:
  void RunOnHub(const std::function<void()>& step) const {
    std::promise<void> done;
    asio::post(context_, [&step, &done] {
      step();
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
