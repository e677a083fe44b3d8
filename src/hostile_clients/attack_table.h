#ifndef EGRETRACK_HOSTILE_CLIENTS_ATTACK_TABLE_H_
#define EGRETRACK_HOSTILE_CLIENTS_ATTACK_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

#include "hostile_clients/client_group.h"

namespace egretrack::hostile_clients {

enum class attacked_port : std::uint8_t {
  kJobs,
  kReadiness,
  kEntryInternal,
  kReports,
  kAgentInternal,
  kAgents,  // ZeroMQ.
};

// A number of clients that send the same stream to each port.
struct attack {
  std::string_view name;
  std::span<const attacked_port> ports;
  std::size_t connections_per_port = 0;
  // Stream of the connection with this number.
  byte_stream (*make_stream)(attacked_port port, std::size_t number);
  // Settings of the entry and bound of its open descriptors.
  std::string_view entry_settings;
  std::size_t max_descriptors = 0;
  // Whether the worker has resources for an ordinary job during the attack.
  bool leaves_worker_free = true;
};

// All attacks. Their numbers of clients and bytes are fixed: they showed the
// faults in the code before it had limits.
std::span<const attack> AllAttacks();

}  // namespace egretrack::hostile_clients

#endif  // EGRETRACK_HOSTILE_CLIENTS_ATTACK_TABLE_H_
