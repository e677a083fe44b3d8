#include <array>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <iterator>
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

// ZeroMQ assigns each connection a routing id of a zero byte and a 32-bit
// counter. A peer that sets its own routing id uses another form; frames from
// such peers are ignored.
constexpr std::size_t kRoutingIdBytes = 5;
using routing_id = std::array<std::byte, kRoutingIdBytes>;

std::optional<peer_id> ToPeer(std::span<const std::byte> id) {
  if (id.size() != kRoutingIdBytes || id[0] != std::byte{0})
    return std::nullopt;
  std::uint32_t number = 0;
  std::memcpy(&number, &id[1], sizeof(number));
  return peer_id{number};
}

routing_id ToRoutingId(peer_id peer) {
  routing_id id{};
  const auto number = static_cast<std::uint32_t>(peer);
  std::memcpy(&id[1], &number, sizeof(number));
  return id;
}

struct outgoing_frame {
  peer_id peer{};
  std::string bytes;
};

class zmq_router final : public frame_router {
 public:
  zmq_router(zmq::context_t context,
             zmq::socket_t socket,
             tcp_address local,
             frame_handler on_frame,
             const frame_limits& limits)
      : context_(std::move(context)),
        socket_(std::move(socket)),
        local_address_(std::move(local)),
        on_frame_(std::move(on_frame)),
        outgoing_(limits.queued_bytes),
        thread_([this] { Run(); }) {}

  ~zmq_router() override {
    outgoing_.Close();
    thread_.join();
  }

  tcp_address local_address() const override { return local_address_; }

  void Send(peer_id peer, std::string frame) override {
    const std::size_t bytes = frame.size();
    outgoing_.TryPush({peer, std::move(frame)}, bytes);
  }

 private:
  void Run() {
    std::array<zmq::pollitem_t, 2> items{
        zmq::pollitem_t{socket_.handle(), 0, ZMQ_POLLIN, 0},
        zmq::pollitem_t{nullptr, outgoing_.wake_fd(), ZMQ_POLLIN, 0}};
    while (!outgoing_.closed()) {
      WaitForEvents(items);
      SendQueued();
      ReceiveFrames();
    }
    socket_.close();
  }

  void SendQueued() {
    outgoing_.TakeAll(batch_);
    for (const outgoing_frame& frame : batch_)
      SendFrame(frame);
  }

  // Never blocks. Drops the frame if the peer is disconnected or its send queue
  // is full.
  void SendFrame(const outgoing_frame& frame) {
    try {
      const routing_id id = ToRoutingId(frame.peer);
      const auto flags = zmq::send_flags::sndmore | zmq::send_flags::dontwait;
      if (socket_.send(zmq::buffer(id), flags))
        socket_.send(zmq::buffer(frame.bytes), zmq::send_flags::dontwait);
    } catch (const zmq::error_t& failure) {
      if (failure.num() != EHOSTUNREACH)
        throw;
    }
  }

  void ReceiveFrames() {
    for (int count = 0; count < kFramesPerIteration; ++count) {
      std::vector<zmq::message_t> parts;
      if (!zmq::recv_multipart(socket_, std::back_inserter(parts),
                               zmq::recv_flags::dontwait)) {
        return;
      }
      const auto peer = ToPeer(AsBytes(parts.front()));
      if (peer && parts.size() == 2)
        on_frame_(*peer, AsBytes(parts.back()));
    }
  }

  zmq::context_t context_;
  zmq::socket_t socket_;  // Accessed only by thread_.
  const tcp_address local_address_;
  const frame_handler on_frame_;
  frame_queue<outgoing_frame> outgoing_;
  std::vector<outgoing_frame> batch_;
  std::thread thread_;
};

// Extracts the port that the system assigned from the endpoint
// "tcp://host:port".
std::uint16_t BoundPort(const zmq::socket_t& socket) {
  const std::string endpoint = socket.get(zmq::sockopt::last_endpoint);
  std::uint16_t port = 0;
  const char* end = endpoint.data() + endpoint.size();
  std::from_chars(endpoint.data() + endpoint.rfind(':') + 1, end, port);
  return port;
}

}  // namespace

result<std::unique_ptr<frame_router>> frame_router::Bind(
    const tcp_address& address,
    frame_handler on_frame,
    frame_limits limits) {
  try {
    zmq::context_t context;
    zmq::socket_t socket(context, zmq::socket_type::router);
    SetSocketOptions(socket, address, limits);
    socket.set(zmq::sockopt::router_mandatory, true);
    socket.bind(ZmqEndpoint(address));
    tcp_address local{address.host, BoundPort(socket)};
    return std::make_unique<zmq_router>(std::move(context), std::move(socket),
                                        std::move(local), std::move(on_frame),
                                        limits);
  } catch (const zmq::error_t& failure) {
    return MakeZmqError(failure, address);
  }
}

}  // namespace egretrack::net
