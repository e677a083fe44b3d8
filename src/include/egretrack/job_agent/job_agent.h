#ifndef EGRETRACK_JOB_AGENT_JOB_AGENT_H_
#define EGRETRACK_JOB_AGENT_JOB_AGENT_H_

#include <memory>

#include "egretrack/base/result.h"
#include "egretrack/settings/settings.h"

namespace egretrack::job_agent {

// A running agent beside one worker: its control thread, its traffic threads
// and their sockets.
class job_agent_process {
 public:
  // Opens the sockets and starts the threads. Errors: those of the system.
  static result<std::unique_ptr<job_agent_process>> Start(
      const settings::job_agent_settings& settings);
  virtual ~job_agent_process() = default;

  // Begins a graceful shutdown. Further calls have no effect. Drain() and
  // Reload() may be called from any thread.
  virtual void Drain() = 0;
  // Applies the seeds of new settings; other changes have no effect.
  virtual void Reload(const settings::job_agent_settings& settings) = 0;
  // Blocks until the shutdown is complete.
  virtual void Wait() = 0;
};

}  // namespace egretrack::job_agent

#endif  // EGRETRACK_JOB_AGENT_JOB_AGENT_H_
