#include "net/connection_pool.h"

#include <array>
#include <utility>

#include <boost/asio/buffer.hpp>

namespace egretrack::net {
namespace {

// Shorter than the idle timeout of the servers (30 s), so that a request is
// rarely sent on a connection that the server is closing.
constexpr seconds kMaxIdleTime{15};

// True if the connection is open and has no pending input. Input or the end of
// the stream on an idle connection means that the server closed it or violated
// the protocol.
bool IsReusable(connection_pool::socket& connection) {
  boost::system::error_code failure;
  connection.non_blocking(true, failure);
  std::array<char, 1> byte{};
  connection.receive(boost::asio::buffer(byte),
                     connection_pool::socket::message_peek, failure);
  return failure == boost::asio::error::would_block;
}

}  // namespace

std::optional<connection_pool::idle_connection> connection_pool::Acquire(
    const std::string& address) {
  const std::lock_guard lock(mutex_);
  auto& idle = servers_[address].idle;
  while (!idle.empty()) {
    idle_connection latest = std::move(idle.back());
    idle.pop_back();
    const bool recently_used =
        monotonic_clock::now() - latest.received_at < kMaxIdleTime;
    if (recently_used && IsReusable(latest.connection))
      return latest;
  }
  return std::nullopt;
}

void connection_pool::Release(const std::string& address, socket connection) {
  const std::lock_guard lock(mutex_);
  auto& idle = servers_[address].idle;
  if (idle.size() < limit_)
    idle.push_back({std::move(connection), monotonic_clock::now()});
}

void connection_pool::RecordSilence(const std::string& address,
                                    monotonic_time due_at) {
  const std::lock_guard lock(mutex_);
  server_connections& server = servers_[address];
  server.liveness.RecordSilence(due_at, monotonic_clock::now());
  std::erase_if(server.idle, [&server](const idle_connection& each) {
    return !server.liveness.IsAlive(each.received_at);
  });
}

void connection_pool::RecordLife(const std::string& address) {
  const std::lock_guard lock(mutex_);
  servers_[address].liveness.RecordLife();
}

bool connection_pool::IsAlive(const std::string& address,
                              monotonic_time received_at) const {
  const std::lock_guard lock(mutex_);
  const auto found = servers_.find(address);
  return found == servers_.end() || found->second.liveness.IsAlive(received_at);
}

}  // namespace egretrack::net
