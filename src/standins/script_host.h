#ifndef EGRETRACK_STANDINS_SCRIPT_HOST_H_
#define EGRETRACK_STANDINS_SCRIPT_HOST_H_

#include <memory>
#include <string>
#include <vector>

#include "egretrack/base/result.h"
#include "egretrack/base/time.h"

namespace egretrack::standins {

struct script_options {
  std::string programs;   // Folder of the programs under test.
  std::string directory;  // Empty folder for files of this run.
  std::string scenario;   // Folder of the scenario, for its other files.
  seconds timeout{100};
  bool verbose = false;  // Print output at once and log to standard error.
};

// Runs Lua scripts and gives them the functions of the global table `native`:
// processes, relays, HTTP calls, raw connections, files and ledgers. All that
// a script started ends with the host. Used on the main thread only.
class script_host {
 public:
  static std::unique_ptr<script_host> Create(script_options options);
  virtual ~script_host() = default;

  // Errors: errc::kInvalidArgument with the script's message and trace.
  virtual result<void> RunFile(const std::string& path) = 0;
  // What the scripts printed.
  virtual const std::string& output() const = 0;
  // Faults in the ledgers of all endpoint stand-ins; empty when all is well.
  virtual std::vector<std::string> CheckLedgers() const = 0;
  // Kills everything that the scripts started.
  virtual void EndProcesses() = 0;
};

}  // namespace egretrack::standins

#endif  // EGRETRACK_STANDINS_SCRIPT_HOST_H_
