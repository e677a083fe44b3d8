#ifndef EGRETRACK_STANDINS_CHILD_PROCESS_H_
#define EGRETRACK_STANDINS_CHILD_PROCESS_H_

#include <sys/types.h>

#include <optional>
#include <span>
#include <string>

#include "egretrack/base/result.h"

namespace egretrack::standins {

// A program that the runner started, in a process group of its own. Killed
// when the object goes, and by the kernel when the runner dies.
class child_process {
 public:
  // Standard output goes to `output`, standard error to `errors`; both may name
  // the same file. Must be called on the main thread: the kernel ends the child
  // when the starting thread ends. Errors: those of the system.
  static result<child_process> Start(const std::string& program,
                                     std::span<const std::string> arguments,
                                     const std::string& output,
                                     const std::string& errors);
  child_process(child_process&& other) noexcept;
  child_process& operator=(child_process&&) = delete;
  ~child_process();

  // Sends a signal to the process group; nothing once it has ended.
  void Signal(int signal);
  bool IsRunning();
  // Exit code, or 128 plus the signal; empty while it runs.
  std::optional<int> exit_code() const { return exit_code_; }

 private:
  explicit child_process(pid_t pid) : pid_(pid) {}

  void Reap(int wait_options);

  pid_t pid_;
  std::optional<int> exit_code_;
};

}  // namespace egretrack::standins

#endif  // EGRETRACK_STANDINS_CHILD_PROCESS_H_
