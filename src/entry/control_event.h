#ifndef EGRETRACK_ENTRY_CONTROL_EVENT_H_
#define EGRETRACK_ENTRY_CONTROL_EVENT_H_

#include <cstdint>
#include <variant>

#include "egretrack/base/mailbox.h"
#include "egretrack/decision/entry_core.h"

// Events that traffic threads send to the control thread.
namespace egretrack::entry {

enum class report_kind : std::uint8_t {
  kMetrics,
  kBurnJson,
  kBurnText,
  kBurnSvg,
};

// Requests a report on data that the control thread owns.
struct report_request {
  decision::caller_token caller{};
  report_kind kind = report_kind::kMetrics;
};

using control_event = std::variant<decision::entry_event, report_request>;
using control_mailbox = mailbox<control_event>;

}  // namespace egretrack::entry

#endif  // EGRETRACK_ENTRY_CONTROL_EVENT_H_
