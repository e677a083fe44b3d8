#ifndef EGRETRACK_AGENT_AGENT_H_
#define EGRETRACK_AGENT_AGENT_H_

#include <memory>

#include "egretrack/base/result.h"
#include "egretrack/settings/settings.h"

namespace egretrack::agent {

// A running agent process: the control thread, the traffic threads and their
// sockets.
class agent_process {
 public:
  // Opens the sockets and starts the threads. Errors: malformed addresses in
  // the settings and errors of the operating system.
  static result<std::unique_ptr<agent_process>> Start(
      const settings::agent_settings& settings);
  virtual ~agent_process() = default;

  // Begins a graceful shutdown; further calls have no effect. Thread-safe.
  virtual void Drain() = 0;
  // Blocks until the shutdown begun by Drain() is complete.
  virtual void Wait() = 0;
};

}  // namespace egretrack::agent

#endif  // EGRETRACK_AGENT_AGENT_H_
