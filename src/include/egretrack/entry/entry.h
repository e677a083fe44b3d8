#ifndef EGRETRACK_ENTRY_ENTRY_H_
#define EGRETRACK_ENTRY_ENTRY_H_

#include <memory>

#include "egretrack/base/result.h"
#include "egretrack/settings/settings.h"

namespace egretrack::entry {

// A running entry process with its control thread, traffic threads and
// sockets.
class entry_process {
 public:
  // Opens the listening sockets and starts the threads. Errors: those of the
  // operating system.
  static result<std::unique_ptr<entry_process>> Start(
      const settings::entry_settings& settings);
  virtual ~entry_process() = default;

  // Starts a graceful shutdown; further calls have no effect. Safe from any
  // thread.
  virtual void Drain() = 0;
  // Blocks until the shutdown is complete.
  virtual void Wait() = 0;
};

}  // namespace egretrack::entry

#endif  // EGRETRACK_ENTRY_ENTRY_H_
