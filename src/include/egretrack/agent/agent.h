#ifndef EGRETRACK_AGENT_AGENT_H_
#define EGRETRACK_AGENT_AGENT_H_

#include <memory>

#include "egretrack/base/result.h"
#include "egretrack/settings/settings.h"

namespace egretrack::agent {

// A running agent: its control thread, its traffic threads and their sockets.
class agent_process {
 public:
  // Listens and starts. Errors: those of the system.
  static result<std::unique_ptr<agent_process>> Start(
      const settings::agent_settings& settings);
  virtual ~agent_process() = default;

  // Begins a graceful shutdown; calling it again changes nothing. Safe from
  // any thread.
  virtual void Drain() = 0;
  // Returns when the shutdown is complete.
  virtual void Wait() = 0;
};

}  // namespace egretrack::agent

#endif  // EGRETRACK_AGENT_AGENT_H_
