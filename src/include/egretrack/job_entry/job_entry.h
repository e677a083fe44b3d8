#ifndef EGRETRACK_JOB_ENTRY_JOB_ENTRY_H_
#define EGRETRACK_JOB_ENTRY_JOB_ENTRY_H_

#include <memory>

#include "egretrack/base/result.h"
#include "egretrack/settings/settings.h"

namespace egretrack::job_entry {

// A running entry for jobs that are not kept: its control thread, its traffic
// threads and their sockets.
class job_entry_process {
 public:
  // Listens and starts. Errors: those of the system.
  static result<std::unique_ptr<job_entry_process>> Start(
      const settings::job_entry_settings& settings);
  virtual ~job_entry_process() = default;

  // Begins a graceful shutdown; calling it again changes nothing. Safe from
  // any thread, as is Reload().
  virtual void Drain() = 0;
  // Takes over the seeds of new settings.
  virtual void Reload(const settings::job_entry_settings& settings) = 0;
  // Returns when the shutdown is complete.
  virtual void Wait() = 0;
};

}  // namespace egretrack::job_entry

#endif  // EGRETRACK_JOB_ENTRY_JOB_ENTRY_H_
