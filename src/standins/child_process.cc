#include "standins/child_process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <utility>
#include <vector>

namespace egretrack::standins {
namespace {

constexpr int kExecFailedExitCode = 127;
constexpr int kSignalExitCodeBase = 128;

std::vector<char*> ArgumentPointers(std::vector<std::string>& argument_texts) {
  std::vector<char*> argument_pointers;
  argument_pointers.reserve(argument_texts.size() + 1);
  for (auto& text : argument_texts)
    argument_pointers.push_back(text.data());
  argument_pointers.push_back(nullptr);
  return argument_pointers;
}

// Runs between fork() and exec(), so it makes only async-signal-safe calls.
[[noreturn]] void RunChild(char* const* arguments,
                           int output,
                           int errors,
                           pid_t parent) {
  setpgid(0, 0);
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  // The parent may have died before PR_SET_PDEATHSIG was set.
  if (getppid() != parent)
    _exit(kExecFailedExitCode);
  dup2(output, STDOUT_FILENO);
  dup2(errors, STDERR_FILENO);
  // A connection that the child inherited would stay open when the parent
  // closes it.
  close_range(STDERR_FILENO + 1, ~0U, 0);
  execv(arguments[0], arguments);
  _exit(kExecFailedExitCode);
}

int OpenForAppending(const std::string& path) {
  return open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
}

error SystemError(int cause, const std::string& subject) {
  return MakeError(std::error_code(cause, std::system_category()), subject);
}

}  // namespace

result<child_process> child_process::Start(
    const std::string& program,
    std::span<const std::string> arguments,
    const std::string& output,
    const std::string& errors) {
  std::vector<std::string> argument_texts = {program};
  argument_texts.insert(argument_texts.end(), arguments.begin(),
                        arguments.end());
  const std::vector<char*> argument_pointers = ArgumentPointers(argument_texts);
  const int output_file = OpenForAppending(output);
  if (output_file < 0)
    return SystemError(errno, output);
  const int errors_file = OpenForAppending(errors);
  if (errors_file < 0) {
    const int cause = errno;
    close(output_file);
    return SystemError(cause, errors);
  }
  const pid_t parent = getpid();
  const pid_t pid = fork();
  if (pid == 0)
    RunChild(argument_pointers.data(), output_file, errors_file, parent);
  const int cause = errno;
  close(output_file);
  close(errors_file);
  if (pid < 0)
    return SystemError(cause, program);
  // The parent and the child both set the process group, so that it exists
  // regardless of which of them runs first.
  setpgid(pid, pid);
  return child_process(pid);
}

child_process::child_process(child_process&& other) noexcept
    : pid_(std::exchange(other.pid_, -1)),
      stopped_(other.stopped_),
      exit_code_(other.exit_code_) {}

child_process::~child_process() {
  if (pid_ < 0 || exit_code_)
    return;
  Signal(SIGKILL);
  Reap(0);
}

void child_process::Signal(int signal) {
  if (!IsRunning())
    return;
  kill(-pid_, signal);
  if (signal == SIGSTOP)
    WaitUntilStopped();
  else if (signal == SIGCONT)
    stopped_ = false;
}

// On a busy machine other threads of a process run on for tens of milliseconds
// after kill() has returned, until the thread that handles SIGSTOP is
// scheduled.
void child_process::WaitUntilStopped() {
  if (std::exchange(stopped_, true))
    return;
  int status = 0;
  if (waitpid(pid_, &status, WUNTRACED) == pid_ && !WIFSTOPPED(status))
    SetExitCode(status);
}

bool child_process::IsRunning() {
  if (!exit_code_)
    Reap(WNOHANG);
  return !exit_code_;
}

void child_process::Reap(int wait_options) {
  int status = 0;
  if (waitpid(pid_, &status, wait_options) == pid_)
    SetExitCode(status);
}

void child_process::SetExitCode(int status) {
  exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status)
                                 : kSignalExitCodeBase + WTERMSIG(status);
}

}  // namespace egretrack::standins
