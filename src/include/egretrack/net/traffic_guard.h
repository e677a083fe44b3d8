#ifndef EGRETRACK_NET_TRAFFIC_GUARD_H_
#define EGRETRACK_NET_TRAFFIC_GUARD_H_

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string_view>
#include <unordered_map>

namespace egretrack::net {

class connection_ledger;
enum class connection_number : std::uint64_t {};
enum class connection_phase : std::uint8_t;

// Limits that clients can exceed.
enum class traffic_limit : std::uint8_t {
  kHeaderBytes,
  kBodyBytes,
  kRequestBytes,  // Header, chunk extensions, trailer and body together.
  kHeaderTime,
  kRequestTime,
  kSendTime,
  kHeldBytes,    // Of all connections of the process.
  kConnections,  // Of one server or of the process.
};
inline constexpr std::size_t kTrafficLimitCount = 8;

// Name in metrics and log lines.
std::string_view Name(traffic_limit limit);

// Bounds of all HTTP servers of a process together.
struct traffic_budget {
  std::size_t held_bytes = 0;
  std::size_t connections = 0;
};

// Derives the budget from the memory and the descriptors of the machine.
traffic_budget BudgetOfMachine(std::size_t memory_mb, std::size_t max_fds);

// Accounts for the connections of the HTTP servers of a process, counts the
// clients outside the limits, and closes connections when the process holds
// more than its budget. Thread-safe.
class traffic_guard {
 public:
  using closer = std::function<void()>;

  explicit traffic_guard(const traffic_budget& budget);
  ~traffic_guard();
  traffic_guard(const traffic_guard&) = delete;
  traffic_guard& operator=(const traffic_guard&) = delete;

  // Adds a connection of the server `server`, which serves at most
  // `server_limit` ones. If there are too many, closes another one in exchange;
  // returns std::nullopt if all of them await an answer. `close` is called on
  // any thread and must not call back.
  std::optional<connection_number> Open(const void* server,
                                        std::size_t server_limit,
                                        closer close);
  // Sets what a connection does and the bytes that it holds. Closes connections
  // while the process holds too many bytes.
  void Update(connection_number connection,
              connection_phase phase,
              std::size_t held_bytes);
  void Close(connection_number connection);

  void Count(traffic_limit limit);
  std::uint64_t count(traffic_limit limit) const;
  std::size_t held_bytes() const;
  std::size_t connections() const;

 private:
  // Both require `mutex_`.
  closer Evict(connection_number connection);
  bool IsFull(const void* server, std::size_t server_limit) const;

  const traffic_budget budget_;
  std::array<std::atomic<std::uint64_t>, kTrafficLimitCount> counts_{};
  mutable std::mutex mutex_;
  const std::unique_ptr<connection_ledger> ledger_;        // Guarded by mutex_.
  std::unordered_map<connection_number, closer> closers_;  // The same.
};

}  // namespace egretrack::net

#endif  // EGRETRACK_NET_TRAFFIC_GUARD_H_
