#ifndef EGRETRACK_JOB_ENTRY_JOB_ENTRY_H_
#define EGRETRACK_JOB_ENTRY_JOB_ENTRY_H_

#include <memory>

#include "egretrack/base/result.h"
#include "egretrack/settings/settings.h"

namespace egretrack::job_entry {

// An entry for jobs that are not stored: its control thread, its traffic
// threads and their sockets.
class job_entry_process {
 public:
  // Binds the sockets and starts the threads. Returns system errors.
  static result<std::unique_ptr<job_entry_process>> Start(
      const settings::job_entry_settings& settings);
  virtual ~job_entry_process() = default;

  // Begins a graceful shutdown; further calls have no effect. Drain() and
  // Reload() may be called from any thread.
  virtual void Drain() = 0;
  // Applies the seed list of new settings; other settings are ignored.
  virtual void Reload(const settings::job_entry_settings& settings) = 0;
  // Blocks until the shutdown is complete.
  virtual void Wait() = 0;
};

}  // namespace egretrack::job_entry

#endif  // EGRETRACK_JOB_ENTRY_JOB_ENTRY_H_
