#ifndef EGRETRACK_AGENT_AGENT_EVENT_H_
#define EGRETRACK_AGENT_AGENT_EVENT_H_

#include <cstdint>
#include <variant>

#include "egretrack/base/mailbox.h"
#include "egretrack/decision/agent_core.h"
#include "egretrack/net/http.h"

namespace egretrack::agent {

// An operator's HTTP query about state that the control thread owns. The values
// index the handler table of agent_control.
enum class operator_query_kind : std::uint8_t { kStatus, kReady, kMetrics };
struct operator_query {
  operator_query_kind kind = operator_query_kind::kStatus;
  net::http_exchange_ptr exchange;
};

// Events that traffic threads pass to the control thread.
using control_event = std::variant<decision::agent_event, operator_query>;
using control_mailbox = mailbox<control_event>;

}  // namespace egretrack::agent

#endif  // EGRETRACK_AGENT_AGENT_EVENT_H_
