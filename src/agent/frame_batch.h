#ifndef EGRETRACK_AGENT_FRAME_BATCH_H_
#define EGRETRACK_AGENT_FRAME_BATCH_H_

#include <cstddef>
#include <vector>

#include "egretrack/decision/agent_core.h"
#include "egretrack/net/frame_link.h"
#include "egretrack/wire/messages.h"

namespace egretrack::agent {

// Collects the messages that a batch of events produces and sends them in one
// frame per entry.
class frame_batch {
 public:
  frame_batch(net::frame_dealer& dealer, std::size_t entry_count);

  void Add(decision::send_to_entry send);
  // Discards pending messages, because they belong to the previous connection.
  void Reconnect(const decision::open_connection& open);
  void SendAll();

 private:
  struct pending_frame {
    wire::agent_frame frame;
    std::size_t bytes = 0;
  };

  void SendFrame(decision::entry_index entry);

  net::frame_dealer& dealer_;
  std::vector<pending_frame> pending_;
};

}  // namespace egretrack::agent

#endif  // EGRETRACK_AGENT_FRAME_BATCH_H_
