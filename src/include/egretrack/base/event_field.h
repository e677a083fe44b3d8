#ifndef EGRETRACK_BASE_EVENT_FIELD_H_
#define EGRETRACK_BASE_EVENT_FIELD_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace egretrack {

// One input or outcome of an event for the structured log. Units are part of
// the key, as in "queued_us".
struct event_field {
  std::string_view key;  // A literal.
  std::variant<std::int64_t, std::string> value;
};

}  // namespace egretrack

#endif  // EGRETRACK_BASE_EVENT_FIELD_H_
