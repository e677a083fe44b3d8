#include "net/connection_ledger.h"

#include <tuple>

namespace egretrack::net {
namespace {

// A request of an ordinary caller arrives, and its response is read, within a
// few milliseconds; callers are at most 3 ms away.
constexpr milliseconds kOrdinaryTime{250};
// Memory of a connection that holds no bytes: its socket, session and timer.
constexpr std::size_t kConnectionBytes = 4096;

// Order in which connections are closed.
enum class closing_class : std::uint8_t { kRecent, kIdle, kSlow };

}  // namespace

connection_number connection_ledger::Add(const void* server,
                                         monotonic_time now) {
  const connection_number added{++last_number_};
  entries_[added] = {server, connection_phase::kReceiving, 0, now};
  ++counts_[server];
  return added;
}

void connection_ledger::Update(connection_number connection,
                               connection_phase phase,
                               std::size_t held_bytes,
                               monotonic_time now) {
  const auto found = entries_.find(connection);
  if (found == entries_.end())
    return;
  entry& updated = found->second;
  held_bytes_ += held_bytes;
  held_bytes_ -= updated.held_bytes;
  updated.held_bytes = held_bytes;
  if (updated.phase != phase)
    updated.since = now;
  updated.phase = phase;
}

void connection_ledger::Remove(connection_number connection) {
  const auto found = entries_.find(connection);
  if (found == entries_.end())
    return;
  held_bytes_ -= found->second.held_bytes;
  const auto count = counts_.find(found->second.server);
  if (--count->second == 0)
    counts_.erase(count);
  entries_.erase(found);
}

std::size_t connection_ledger::CountOf(const void* server) const {
  const auto found = counts_.find(server);
  return found == counts_.end() ? 0 : found->second;
}

std::optional<connection_number> connection_ledger::FindForSlot(
    const void* server,
    monotonic_time now) const {
  return FindWorst(
      [server](const entry& each) {
        return server == nullptr || each.server == server;
      },
      now);
}

std::optional<connection_number> connection_ledger::FindForBytes(
    monotonic_time now) const {
  return FindWorst([](const entry& each) { return each.held_bytes > 0; }, now);
}

// Slow clients go first, then idle connections, which hold no request, then
// requests that have just begun. Within a class, the connection with the
// largest product of bytes and time goes first.
template <typename Eligible>
std::optional<connection_number> connection_ledger::FindWorst(
    Eligible eligible,
    monotonic_time now) const {
  std::optional<connection_number> worst;
  std::tuple<closing_class, double> worst_rank;
  for (const auto& [number, each] : entries_) {
    if (each.phase == connection_phase::kServing || !eligible(each))
      continue;
    const microseconds age = now - each.since;
    closing_class group = closing_class::kRecent;
    if (each.phase == connection_phase::kIdle)
      group = closing_class::kIdle;
    else if (age > kOrdinaryTime)
      group = closing_class::kSlow;
    const std::tuple rank(
        group, static_cast<double>(each.held_bytes + kConnectionBytes) *
                   static_cast<double>(age.count() + 1));
    if (!worst || rank > worst_rank) {
      worst = number;
      worst_rank = rank;
    }
  }
  return worst;
}

}  // namespace egretrack::net
