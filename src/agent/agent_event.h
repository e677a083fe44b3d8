#ifndef EGRETRACK_AGENT_AGENT_EVENT_H_
#define EGRETRACK_AGENT_AGENT_EVENT_H_

#include <cstdint>
#include <variant>

#include "egretrack/base/mailbox.h"
#include "egretrack/decision/agent_core.h"
#include "egretrack/net/http.h"

namespace egretrack::agent {

// What an operator asks that only the control thread knows.
enum class question : std::uint8_t { kStatus, kReady, kMetrics };
struct operator_question {
  question asked = question::kStatus;
  net::http_exchange_ptr exchange;
};

// What traffic threads pass to the control thread.
using control_event = std::variant<decision::agent_event, operator_question>;
using control_mailbox = mailbox<control_event>;

}  // namespace egretrack::agent

#endif  // EGRETRACK_AGENT_AGENT_EVENT_H_
