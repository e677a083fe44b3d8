#ifndef EGRETRACK_STANDINS_SCRIPT_HOST_H_
#define EGRETRACK_STANDINS_SCRIPT_HOST_H_

#include <memory>
#include <string>
#include <vector>

#include "egretrack/base/result.h"
#include "egretrack/base/time.h"

namespace egretrack::standins {

struct script_options {
  std::string programs_directory;  // Contains the programs under test.
  std::string run_directory;       // Empty directory for the files of this run.
  std::string scenario_directory;  // Contains the files of the scenario.
  seconds timeout{100};
  // Prints output immediately and logs to standard error.
  bool verbose = false;
};

// Runs Lua scripts and gives them the functions of the global table `native`:
// processes, relays, HTTP calls, raw connections, files and ledgers. The
// destructor ends everything that a script started. Must be used on the main
// thread only.
class script_host {
 public:
  static std::unique_ptr<script_host> Create(script_options options);
  virtual ~script_host() = default;

  // Errors: errc::kInvalidArgument with the error message and traceback of the
  // script.
  virtual result<void> RunFile(const std::string& path) = 0;
  // Returns the text that the scripts printed.
  virtual const std::string& output() const = 0;
  // Returns one sentence for each violation in the ledgers of all endpoint
  // stand-ins.
  virtual std::vector<std::string> CheckLedgers() const = 0;
  // Kills all processes that the scripts started.
  virtual void EndProcesses() = 0;
};

}  // namespace egretrack::standins

#endif  // EGRETRACK_STANDINS_SCRIPT_HOST_H_
