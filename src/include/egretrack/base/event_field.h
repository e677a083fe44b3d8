#ifndef EGRETRACK_BASE_EVENT_FIELD_H_
#define EGRETRACK_BASE_EVENT_FIELD_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace egretrack {

// A key and value of an event in the structured log. The unit is part of the
// key, as in "queued_us".
struct event_field {
  std::string_view key;  // Refers to a string literal.
  std::variant<std::int64_t, std::string> value;
};

}  // namespace egretrack

#endif  // EGRETRACK_BASE_EVENT_FIELD_H_
