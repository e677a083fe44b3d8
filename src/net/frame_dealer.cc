#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <zmq.hpp>
#include <zmq_addon.hpp>

#include "egretrack/net/frame_link.h"
#include "net/frame_queue.h"
#include "net/frame_socket.h"

namespace egretrack::net {
namespace {

enum class dealer_action : std::uint8_t { kSend, kReconnect, kConnect };

// Kept in one queue, so that a frame sent after Reconnect() takes the new
// connection.
struct dealer_request {
  dealer_action action = dealer_action::kSend;
  std::uint32_t link = 0;
  std::string bytes;
  tcp_address address;  // For kConnect.
};

struct dealer_link {
  tcp_address address;
  zmq::socket_t socket;
};

zmq::socket_t OpenSocket(zmq::context_t& context, const tcp_address& address) {
  zmq::socket_t socket(context, zmq::socket_type::dealer);
  Configure(socket, address);
  socket.connect(ZmqEndpoint(address));
  return socket;
}

class zmq_dealer final : public frame_dealer {
 public:
  zmq_dealer(zmq::context_t context,
             std::vector<dealer_link> links,
             frame_handler received)
      : context_(std::move(context)),
        links_(std::move(links)),
        received_(std::move(received)),
        requests_(kMaxQueuedBytes),
        thread_([this] { Run(); }) {}

  ~zmq_dealer() override {
    requests_.Close();
    thread_.join();
  }

  void Reconnect(std::uint32_t link) override {
    requests_.Push({dealer_action::kReconnect, link, {}, {}});
  }

  void Connect(std::uint32_t link, const tcp_address& address) override {
    requests_.Push({dealer_action::kConnect, link, {}, address});
  }

  void Send(std::uint32_t link, std::string frame) override {
    const std::size_t bytes = frame.size();
    requests_.TryPush({dealer_action::kSend, link, std::move(frame), {}},
                      bytes);
  }

 private:
  using perform = void (zmq_dealer::*)(const dealer_request&);

  void Run() {
    while (!requests_.closed()) {
      std::vector<zmq::pollitem_t> items = PollItems();
      Poll(items);
      PerformQueued();
      for (std::uint32_t link = 0; link < links_.size(); ++link)
        ReceiveSome(link);
    }
    links_.clear();
  }

  // Sockets change with each reconnection, so the list is made anew.
  std::vector<zmq::pollitem_t> PollItems() {
    std::vector<zmq::pollitem_t> items;
    items.push_back({nullptr, requests_.wake_fd(), ZMQ_POLLIN, 0});
    for (dealer_link& link : links_)
      items.push_back({link.socket.handle(), 0, ZMQ_POLLIN, 0});
    return items;
  }

  void PerformQueued() {
    static constexpr perform kPerform[] = {&zmq_dealer::SendOne,
                                           &zmq_dealer::ReconnectOne,
                                           &zmq_dealer::ConnectOne};
    requests_.TakeAll(batch_);
    for (const dealer_request& request : batch_) {
      const bool adds = request.action == dealer_action::kConnect &&
                        request.link == links_.size();
      if (adds || request.link < links_.size())
        (this->*kPerform[static_cast<std::size_t>(request.action)])(request);
    }
  }

  // A frame that finds no room is dropped.
  void SendOne(const dealer_request& request) {
    links_[request.link].socket.send(zmq::buffer(request.bytes),
                                     zmq::send_flags::dontwait);
  }

  void ReconnectOne(const dealer_request& request) {
    dealer_link& link = links_[request.link];
    link.socket.close();
    link.socket = OpenSocket(context_, link.address);
  }

  void ConnectOne(const dealer_request& request) {
    if (request.link == links_.size()) {
      links_.push_back(
          {request.address, OpenSocket(context_, request.address)});
      return;
    }
    links_[request.link].address = request.address;
    ReconnectOne(request);
  }

  void ReceiveSome(std::uint32_t link) {
    for (int count = 0; count < kFramesPerTurn; ++count) {
      std::vector<zmq::message_t> parts;
      if (!zmq::recv_multipart(links_[link].socket, std::back_inserter(parts),
                               zmq::recv_flags::dontwait)) {
        return;
      }
      if (parts.size() == 1)
        received_(link, AsBytes(parts.front()));
    }
  }

  zmq::context_t context_;
  std::vector<dealer_link> links_;  // Used by thread_ alone.
  const frame_handler received_;
  frame_queue<dealer_request> requests_;
  std::vector<dealer_request> batch_;
  std::thread thread_;
};

}  // namespace

result<std::unique_ptr<frame_dealer>> frame_dealer::Create(
    std::span<const tcp_address> addresses,
    frame_handler received) {
  zmq::context_t context;
  std::vector<dealer_link> links;
  for (const tcp_address& address : addresses) {
    try {
      links.push_back({address, OpenSocket(context, address)});
    } catch (const zmq::error_t& failure) {
      return ToError(failure, address);
    }
  }
  return std::make_unique<zmq_dealer>(std::move(context), std::move(links),
                                      std::move(received));
}

}  // namespace egretrack::net
