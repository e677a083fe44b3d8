#ifndef EGRETRACK_ENTRY_ENTRY_H_
#define EGRETRACK_ENTRY_ENTRY_H_

#include <memory>

#include "egretrack/base/result.h"
#include "egretrack/settings/settings.h"

namespace egretrack::entry {

// A running entry: its control thread, its traffic threads and their sockets.
class entry_process {
 public:
  // Listens and starts. Errors: those of the system.
  static result<std::unique_ptr<entry_process>> Start(
      const settings::entry_settings& settings);
  virtual ~entry_process() = default;

  // Begins a graceful shutdown; calling it again changes nothing. Safe from
  // any thread.
  virtual void Drain() = 0;
  // Returns when the shutdown is complete.
  virtual void Wait() = 0;
};

}  // namespace egretrack::entry

#endif  // EGRETRACK_ENTRY_ENTRY_H_
