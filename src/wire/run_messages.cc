#include "egretrack/wire/run_messages.h"

#include <array>
#include <cstddef>

namespace egretrack::wire {
namespace {

// Indexed by run_end, minus 1.
constexpr std::array<std::string_view, 4> kRunEndNames{"done", "failed",
                                                       "refused", "lost"};
// Indexed by run_reason.
constexpr std::array<std::string_view, 14> kRunReasonNames{
    "none",           "no_worker",       "draining",
    "too_late",       "queued_too_long", "no_room",
    "worker_refused", "unanswered",      "stalled",
    "lease_lapsed",   "worker_lost",     "entry_silent",
    "evacuated",      "worker_changed"};

}  // namespace

std::string_view Name(run_end end) {
  return kRunEndNames[static_cast<std::size_t>(end) - 1];
}

std::string_view Name(run_reason reason) {
  return kRunReasonNames[static_cast<std::size_t>(reason)];
}

}  // namespace egretrack::wire
