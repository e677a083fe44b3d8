#include <memory>
#include <optional>
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

enum class dealer_action : std::uint8_t { kSend, kReconnect, kConnect, kClose };

// Sending and reconnecting share one queue, so that a frame queued after
// Reconnect() is sent on the new connection.
struct dealer_command {
  dealer_action action = dealer_action::kSend;
  std::uint32_t link = 0;
  std::string bytes;
  tcp_address address;  // For kConnect.
};

struct dealer_link {
  tcp_address address;
  std::optional<zmq::socket_t> socket;  // Unset while the link is closed.
};

result<zmq::socket_t> OpenSocket(zmq::context_t& context,
                                 const tcp_address& address,
                                 const frame_limits& limits) {
  try {
    zmq::socket_t socket(context, zmq::socket_type::dealer);
    SetSocketOptions(socket, address, limits);
    socket.connect(ZmqEndpoint(address));
    return socket;
  } catch (const zmq::error_t& failure) {
    return MakeZmqError(failure, address);
  }
}

class zmq_dealer final : public frame_dealer {
 public:
  zmq_dealer(zmq::context_t context,
             std::vector<dealer_link> links,
             frame_handler on_frame,
             const frame_limits& limits)
      : limits_(limits),
        context_(std::move(context)),
        links_(std::move(links)),
        on_frame_(std::move(on_frame)),
        commands_(limits.queued_bytes),
        thread_([this] { Run(); }) {}

  ~zmq_dealer() override {
    commands_.Close();
    thread_.join();
  }

  void Reconnect(std::uint32_t link) override {
    commands_.Push({dealer_action::kReconnect, link, {}, {}});
  }

  void Connect(std::uint32_t link, const tcp_address& address) override {
    commands_.Push({dealer_action::kConnect, link, {}, address});
  }

  void Close(std::uint32_t link) override {
    commands_.Push({dealer_action::kClose, link, {}, {}});
  }

  void Send(std::uint32_t link, std::string frame) override {
    const std::size_t bytes = frame.size();
    commands_.TryPush({dealer_action::kSend, link, std::move(frame), {}},
                      bytes);
  }

 private:
  using command_handler = void (zmq_dealer::*)(const dealer_command&);

  void Run() {
    while (!commands_.closed()) {
      std::vector<zmq::pollitem_t> items = MakePollItems();
      WaitForEvents(items);
      ProcessQueue();
      for (std::uint32_t link = 0; link < links_.size(); ++link) {
        if (links_[link].socket)
          ReceiveFrames(link);
      }
    }
    links_.clear();
  }

  // Rebuilt before each wait because reconnecting replaces sockets.
  std::vector<zmq::pollitem_t> MakePollItems() {
    std::vector<zmq::pollitem_t> items;
    items.push_back({nullptr, commands_.wake_fd(), ZMQ_POLLIN, 0});
    for (dealer_link& link : links_) {
      if (link.socket)
        items.push_back({link.socket->handle(), 0, ZMQ_POLLIN, 0});
    }
    return items;
  }

  void ProcessQueue() {
    static constexpr command_handler kHandlers[] = {
        &zmq_dealer::SendFrame, &zmq_dealer::ReconnectLink,
        &zmq_dealer::ConnectLink, &zmq_dealer::CloseLink};
    commands_.TakeAll(batch_);
    for (const dealer_command& command : batch_) {
      if (command.action == dealer_action::kConnect &&
          command.link >= links_.size()) {
        links_.resize(command.link + 1);
      }
      if (command.link < links_.size())
        (this->*kHandlers[static_cast<std::size_t>(command.action)])(command);
    }
  }

  // Drops the frame if the link is closed or its send queue is full.
  void SendFrame(const dealer_command& command) {
    if (auto& socket = links_[command.link].socket)
      socket->send(zmq::buffer(command.bytes), zmq::send_flags::dontwait);
  }

  void ReconnectLink(const dealer_command& command) {
    dealer_link& link = links_[command.link];
    link.socket.reset();
    // The link of an address that cannot be connected to stays closed; its user
    // gets no reply and tries again.
    if (auto socket = OpenSocket(context_, link.address, limits_))
      link.socket = std::move(*socket);
  }

  void CloseLink(const dealer_command& command) {
    links_[command.link].socket.reset();
  }

  void ConnectLink(const dealer_command& command) {
    links_[command.link].address = command.address;
    ReconnectLink(command);
  }

  void ReceiveFrames(std::uint32_t link) {
    for (int count = 0; count < kFramesPerIteration; ++count) {
      std::vector<zmq::message_t> parts;
      if (!zmq::recv_multipart(*links_[link].socket, std::back_inserter(parts),
                               zmq::recv_flags::dontwait)) {
        return;
      }
      if (parts.size() == 1)
        on_frame_(link, AsBytes(parts.front()));
    }
  }

  const frame_limits limits_;
  zmq::context_t context_;
  std::vector<dealer_link> links_;  // Accessed only by thread_.
  const frame_handler on_frame_;
  frame_queue<dealer_command> commands_;
  std::vector<dealer_command> batch_;
  std::thread thread_;
};

}  // namespace

result<std::unique_ptr<frame_dealer>> frame_dealer::Create(
    std::span<const tcp_address> addresses,
    frame_handler on_frame,
    frame_limits limits) {
  zmq::context_t context;
  std::vector<dealer_link> links;
  for (const tcp_address& address : addresses) {
    auto socket = OpenSocket(context, address, limits);
    if (!socket)
      return socket.error();
    links.push_back({address, std::move(*socket)});
  }
  return std::make_unique<zmq_dealer>(std::move(context), std::move(links),
                                      std::move(on_frame), limits);
}

}  // namespace egretrack::net
