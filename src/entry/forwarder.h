#ifndef EGRETRACK_ENTRY_FORWARDER_H_
#define EGRETRACK_ENTRY_FORWARDER_H_

#include <map>
#include <string>
#include <string_view>

#include "egretrack/decision/entry_core.h"
#include "egretrack/net/http.h"
#include "entry/caller_registry.h"
#include "entry/control_event.h"

namespace egretrack::entry {

inline constexpr std::string_view kForwardedHeader = "Egretrack-Forwarded";

// HTTP addresses of the other entries by id.
using peer_addresses = std::map<std::string, net::tcp_address, std::less<>>;

// Forwards requests to the home entry of their job.
class forwarder {
 public:
  forwarder(control_mailbox& events,
            caller_registry& callers,
            net::http_client& http,
            peer_addresses peers);

  // Answers the caller with the response of the home entry, or pushes the event
  // home_unreachable.
  void Forward(const decision::forward_to_home& command);

 private:
  void OnReply(decision::caller_token caller,
               const job_id& id,
               net::http_reply reply);
  void ReportUnreachable(decision::caller_token caller, const job_id& id);

  control_mailbox& events_;
  caller_registry& callers_;
  net::http_client& http_;
  const peer_addresses peers_;
};

}  // namespace egretrack::entry

#endif  // EGRETRACK_ENTRY_FORWARDER_H_
