#ifndef EGRETRACK_AGENT_FRAME_BATCH_H_
#define EGRETRACK_AGENT_FRAME_BATCH_H_

#include <cstddef>
#include <vector>

#include "egretrack/decision/agent_core.h"
#include "egretrack/net/frame_link.h"
#include "egretrack/wire/messages.h"

namespace egretrack::agent {

// Gathers the messages of one batch of events and sends those to one entry in
// one frame.
class frame_batch {
 public:
  frame_batch(net::frame_dealer& dealer, std::size_t entries);

  void Add(decision::send_to_entry send);
  // Messages of the connection before are void.
  void Reconnect(const decision::open_connection& open);
  void SendAll();

 private:
  struct pending_frame {
    wire::agent_frame frame;
    std::size_t bytes = 0;
  };

  void SendOne(decision::entry_index entry);

  net::frame_dealer& dealer_;
  std::vector<pending_frame> pending_;
};

}  // namespace egretrack::agent

#endif  // EGRETRACK_AGENT_FRAME_BATCH_H_
