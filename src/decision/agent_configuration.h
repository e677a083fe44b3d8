#ifndef EGRETRACK_DECISION_AGENT_CONFIGURATION_H_
#define EGRETRACK_DECISION_AGENT_CONFIGURATION_H_

#include <cstdint>
#include <string_view>

#include "egretrack/objects/configuration.h"
#include "egretrack/wire/messages.h"

namespace egretrack::decision {

// The highest version of the configuration that the agent received. The agent
// offers it to entries that start while the table service is down.
class agent_configuration {
 public:
  // Adopts a document with a higher version if it is valid; ignores any other.
  void Adopt(std::uint64_t version, std::string_view document);
  // Returns 0 while no configuration is adopted.
  std::uint64_t version() const { return adopted_ ? adopted_->version : 0; }
  // Requires an adopted configuration.
  wire::config_offer Offer() const {
    return {adopted_->version, adopted_->document};
  }

 private:
  objects::configuration_ptr adopted_;
  std::uint64_t rejected_version_ = 0;  // Highest invalid version.
};

}  // namespace egretrack::decision

#endif  // EGRETRACK_DECISION_AGENT_CONFIGURATION_H_
