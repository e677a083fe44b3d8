#include "decision/agent_configuration.h"

#include <algorithm>

#include "egretrack/objects/check.h"

namespace egretrack::decision {

void agent_configuration::Adopt(std::uint64_t version,
                                std::string_view document) {
  // Entries repeat the document in every reply; an invalid one is parsed once.
  if (version <= std::max(this->version(), rejected_version_) ||
      document.empty())
    return;
  if (const auto loaded = objects::LoadConfiguration(version, document))
    adopted_ = *loaded;
  else
    rejected_version_ = version;
}

}  // namespace egretrack::decision
