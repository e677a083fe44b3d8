#include "decision/agent_configuration.h"

#include <algorithm>

#include "egretrack/objects/check.h"

namespace egretrack::decision {

void agent_configuration::Adopt(std::uint64_t version,
                                std::string_view document) {
  // An invalid document comes again with every reply; it is parsed once.
  if (version <= std::max(this->version(), rejected_) || document.empty())
    return;
  if (const auto loaded = objects::LoadConfiguration(version, document))
    held_ = *loaded;
  else
    rejected_ = version;
}

}  // namespace egretrack::decision
