#ifndef EGRETRACK_DECISION_AGENT_CONFIGURATION_H_
#define EGRETRACK_DECISION_AGENT_CONFIGURATION_H_

#include <cstdint>
#include <string_view>

#include "egretrack/objects/configuration.h"
#include "egretrack/wire/messages.h"

namespace egretrack::decision {

// The highest version of the configuration that the agent was sent, kept for
// entries that start while the table service is down.
class agent_configuration {
 public:
  // Keeps a higher version whose document is valid; ignores anything else.
  void Adopt(std::uint64_t version, std::string_view document);
  // 0 while there is none.
  std::uint64_t version() const { return held_ ? held_->version : 0; }
  // Only while there is one.
  wire::config_offer Offer() const { return {held_->version, held_->document}; }

 private:
  objects::configuration_ptr held_;
  std::uint64_t rejected_ = 0;  // Highest version found invalid.
};

}  // namespace egretrack::decision

#endif  // EGRETRACK_DECISION_AGENT_CONFIGURATION_H_
