#include "egretrack/net/traffic_guard.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "net/connection_ledger.h"

namespace egretrack::net {
namespace {

// An eighth of the memory is held by connections at most; the tasks of jobs may
// take a quarter, and a process at rest takes some 10 MB of 120 MB.
constexpr std::size_t kMemoryShare = 8;
// Descriptors that the platform keeps for files.
constexpr std::size_t kFileDescriptors = 200;
// Descriptors for the process's own links, at least and as a share: an entry
// has some 45 agents and 20 other descriptors.
constexpr std::size_t kMinOwnDescriptors = 64;
constexpr std::size_t kOwnShare = 16;
constexpr std::size_t kMinConnections = 16;

constexpr std::array<std::string_view, kTrafficLimitCount> kNames{
    "header_bytes", "body_bytes", "request_bytes", "header_time",
    "request_time", "send_time",  "held_bytes",    "connections"};

}  // namespace

std::string_view Name(traffic_limit limit) {
  return kNames[static_cast<std::size_t>(limit)];
}

traffic_budget BudgetOfMachine(std::size_t memory_mb, std::size_t max_fds) {
  const std::size_t sockets =
      max_fds > kFileDescriptors ? max_fds - kFileDescriptors : 0;
  const std::size_t own = std::max(kMinOwnDescriptors, sockets / kOwnShare);
  return {.held_bytes = (memory_mb << 20U) / kMemoryShare,
          .connections =
              std::max(kMinConnections, sockets > own ? sockets - own : 0)};
}

traffic_guard::traffic_guard(const traffic_budget& budget)
    : budget_(budget), ledger_(std::make_unique<connection_ledger>()) {}

traffic_guard::~traffic_guard() = default;

std::optional<connection_number> traffic_guard::Open(const void* server,
                                                     std::size_t server_limit,
                                                     closer close) {
  closer close_other;
  connection_number added{};
  {
    const std::lock_guard lock(mutex_);
    const monotonic_time now = monotonic_clock::now();
    if (IsFull(server, server_limit)) {
      Count(traffic_limit::kConnections);
      // If the server is below its own limit, any connection of the process may
      // go.
      const bool any_server = ledger_->CountOf(server) < server_limit;
      const auto victim =
          ledger_->FindForSlot(any_server ? nullptr : server, now);
      if (!victim)
        return std::nullopt;
      close_other = Evict(*victim);
    }
    added = ledger_->Add(server, now);
    closers_.emplace(added, std::move(close));
  }
  if (close_other)
    close_other();
  return added;
}

void traffic_guard::Update(connection_number connection,
                           connection_phase phase,
                           std::size_t held_bytes) {
  std::vector<closer> to_close;
  {
    const std::lock_guard lock(mutex_);
    const monotonic_time now = monotonic_clock::now();
    ledger_->Update(connection, phase, held_bytes, now);
    while (ledger_->held_bytes() > budget_.held_bytes) {
      const auto victim = ledger_->FindForBytes(now);
      if (!victim)
        break;
      Count(traffic_limit::kHeldBytes);
      to_close.push_back(Evict(*victim));
    }
  }
  for (const closer& close : to_close)
    close();
}

void traffic_guard::Close(connection_number connection) {
  const std::lock_guard lock(mutex_);
  ledger_->Remove(connection);
  closers_.erase(connection);
}

void traffic_guard::Count(traffic_limit limit) {
  ++counts_[static_cast<std::size_t>(limit)];
}

std::uint64_t traffic_guard::count(traffic_limit limit) const {
  return counts_[static_cast<std::size_t>(limit)];
}

std::size_t traffic_guard::held_bytes() const {
  const std::lock_guard lock(mutex_);
  return ledger_->held_bytes();
}

std::size_t traffic_guard::connections() const {
  const std::lock_guard lock(mutex_);
  return ledger_->size();
}

traffic_guard::closer traffic_guard::Evict(connection_number connection) {
  ledger_->Remove(connection);
  const auto found = closers_.find(connection);
  closer close = std::move(found->second);
  closers_.erase(found);
  return close;
}

bool traffic_guard::IsFull(const void* server, std::size_t server_limit) const {
  return ledger_->CountOf(server) >= server_limit ||
         ledger_->size() >= budget_.connections;
}

}  // namespace egretrack::net
