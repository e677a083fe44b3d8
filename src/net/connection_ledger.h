#ifndef EGRETRACK_NET_CONNECTION_LEDGER_H_
#define EGRETRACK_NET_CONNECTION_LEDGER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>

#include "egretrack/base/time.h"
#include "egretrack/net/traffic_guard.h"

namespace egretrack::net {

enum class connection_phase : std::uint8_t {
  kReceiving,  // No request has arrived yet, or one has in part.
  kIdle,       // Between two requests.
  kServing,    // The handler has the request.
  kSending,
};

// What the connections of a process hold, and which of them is closed first
// when they hold too much. Handles the load of clients that send a request
// without end, hold a connection with a single byte, or do not read their
// response, while ordinary callers go on. Does no I/O and has no clock.
class connection_ledger {
 public:
  connection_number Add(const void* server, monotonic_time now);
  // Changes of connections that are not in the ledger are ignored.
  void Update(connection_number connection,
              connection_phase phase,
              std::size_t held_bytes,
              monotonic_time now);
  void Remove(connection_number connection);

  std::size_t size() const { return entries_.size(); }
  std::size_t CountOf(const void* server) const;
  std::size_t held_bytes() const { return held_bytes_; }

  // The connection that makes room for a new one, of one server or of any if
  // `server` is null. Never one that is being served.
  std::optional<connection_number> FindForSlot(const void* server,
                                               monotonic_time now) const;
  // The connection that frees memory. Never one that is being served.
  std::optional<connection_number> FindForBytes(monotonic_time now) const;

 private:
  struct entry {
    const void* server = nullptr;
    connection_phase phase = connection_phase::kReceiving;
    std::size_t held_bytes = 0;
    monotonic_time since{};  // Start of the phase.
  };

  template <typename Eligible>
  std::optional<connection_number> FindWorst(Eligible eligible,
                                             monotonic_time now) const;

  std::unordered_map<connection_number, entry> entries_;
  std::map<const void*, std::size_t> counts_;
  std::size_t held_bytes_ = 0;
  std::uint64_t last_number_ = 0;
};

}  // namespace egretrack::net

#endif  // EGRETRACK_NET_CONNECTION_LEDGER_H_
