#ifndef EGRETRACK_STANDINS_CHILD_PROCESS_H_
#define EGRETRACK_STANDINS_CHILD_PROCESS_H_

#include <sys/types.h>

#include <optional>
#include <span>
#include <string>

#include "egretrack/base/result.h"

namespace egretrack::standins {

// A child process in its own process group. The destructor kills it, and the
// kernel kills it when the parent process dies.
class child_process {
 public:
  // Appends standard output to the file `output` and standard error to the file
  // `errors`; both may name the same file. Must be called on the main thread,
  // since the kernel kills the child when the thread that started it ends.
  // Errors: system errors.
  static result<child_process> Start(const std::string& program,
                                     std::span<const std::string> arguments,
                                     const std::string& output,
                                     const std::string& errors);
  child_process(child_process&& other) noexcept;
  child_process& operator=(child_process&&) = delete;
  ~child_process();

  // Sends a signal to the process group unless the process has ended. SIGSTOP
  // returns when every thread of the process has stopped.
  void Signal(int signal);
  bool IsRunning();
  pid_t pid() const { return pid_; }
  // Returns the exit code, or 128 plus the number of the signal that ended the
  // process; empty if IsRunning() has not yet seen it end.
  std::optional<int> exit_code() const { return exit_code_; }

 private:
  explicit child_process(pid_t pid) : pid_(pid) {}

  void Reap(int wait_options);
  void WaitUntilStopped();
  void SetExitCode(int status);

  pid_t pid_;
  bool stopped_ = false;
  std::optional<int> exit_code_;
};

}  // namespace egretrack::standins

#endif  // EGRETRACK_STANDINS_CHILD_PROCESS_H_
