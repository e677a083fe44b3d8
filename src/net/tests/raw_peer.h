#ifndef EGRETRACK_NET_TESTS_RAW_PEER_H_
#define EGRETRACK_NET_TESTS_RAW_PEER_H_

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <thread>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include "egretrack/net/http.h"

// Client and server on blocking sockets, which send the exact bytes that a test
// specifies.
namespace egretrack::net {

class raw_client {
 public:
  explicit raw_client(const tcp_address& address) : socket_(context_) {
    socket_.connect(
        {boost::asio::ip::make_address(address.host), address.port});
  }

  void Send(std::string_view bytes) {
    boost::system::error_code ignored;
    boost::asio::write(socket_, boost::asio::buffer(bytes), ignored);
  }

  // Reads up to and including `delimiter`, or until the connection ends.
  std::string ReadUntil(std::string_view delimiter) {
    boost::system::error_code ended;
    const std::size_t size =
        boost::asio::read_until(socket_, boost::asio::dynamic_buffer(input_),
                                std::string(delimiter), ended);
    return ExtractInput(ended ? input_.size() : size);
  }

  std::string ReadAll() {
    boost::system::error_code ended;
    boost::asio::read(socket_, boost::asio::dynamic_buffer(input_), ended);
    return ExtractInput(input_.size());
  }

  void Close() { socket_.close(); }

 private:
  std::string ExtractInput(std::size_t size) {
    std::string extracted = input_.substr(0, size);
    input_.erase(0, size);
    return extracted;
  }

  boost::asio::io_context context_;
  boost::asio::ip::tcp::socket socket_;
  std::string input_;
};

// Accepts one connection at a time, reads a request header from it, sends
// `response` and closes it.
class raw_server {
 public:
  raw_server(std::string response, int connections)
      : acceptor_(context_, {boost::asio::ip::make_address("127.0.0.1"), 0}),
        response_(std::move(response)),
        thread_([this, connections] { Serve(connections); }) {}
  ~raw_server() { thread_.join(); }
  raw_server(const raw_server&) = delete;
  raw_server& operator=(const raw_server&) = delete;

  tcp_address address() const {
    return {"127.0.0.1", acceptor_.local_endpoint().port()};
  }

 private:
  void Serve(int connections) {
    for (int i = 0; i < connections; ++i) {
      boost::asio::ip::tcp::socket peer(context_);
      acceptor_.accept(peer);
      std::string request;
      boost::system::error_code ignored;
      boost::asio::read_until(peer, boost::asio::dynamic_buffer(request),
                              "\r\n\r\n", ignored);
      boost::asio::write(peer, boost::asio::buffer(response_), ignored);
    }
  }

  boost::asio::io_context context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  const std::string response_;
  std::thread thread_;
};

// Answers requests without a body, except those for "/hold". Its open
// connections may go silent for good while new ones work.
class silenceable_server {
 public:
  silenceable_server()
      : acceptor_(context_, {boost::asio::ip::make_address("127.0.0.1"), 0}) {
    Accept();
    thread_ = std::thread([this] { context_.run(); });
  }
  ~silenceable_server() {
    context_.stop();
    thread_.join();
  }
  silenceable_server(const silenceable_server&) = delete;
  silenceable_server& operator=(const silenceable_server&) = delete;

  void Silence() { silent_connections_ = connections_.load(); }
  int connections() const { return connections_; }
  tcp_address address() const {
    return {"127.0.0.1", acceptor_.local_endpoint().port()};
  }

 private:
  struct connection {
    boost::asio::ip::tcp::socket socket;
    int number = 0;
    std::string input;
  };

  void Accept() {
    acceptor_.async_accept([this](const boost::system::error_code& failure,
                                  boost::asio::ip::tcp::socket socket) {
      if (failure)
        return;
      auto accepted = std::make_shared<connection>(std::move(socket));
      accepted->number = ++connections_;
      Read(std::move(accepted));
      Accept();
    });
  }

  void Read(const std::shared_ptr<connection>& peer) {
    boost::asio::async_read_until(
        peer->socket, boost::asio::dynamic_buffer(peer->input), "\r\n\r\n",
        [this, peer](const boost::system::error_code& failure, std::size_t) {
          if (!failure)
            Answer(peer);
        });
  }

  void Answer(const std::shared_ptr<connection>& peer) {
    const bool answers = peer->number > silent_connections_ &&
                         peer->input.find("/hold") == std::string::npos;
    peer->input.clear();
    boost::system::error_code ignored;
    if (answers)
      boost::asio::write(peer->socket, boost::asio::buffer(kResponse), ignored);
    Read(peer);
  }

  static constexpr std::string_view kResponse =
      "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

  boost::asio::io_context context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::atomic<int> connections_ = 0;
  std::atomic<int> silent_connections_ = 0;
  std::thread thread_;
};

}  // namespace egretrack::net

#endif  // EGRETRACK_NET_TESTS_RAW_PEER_H_
