#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <variant>

#include <CLI/CLI.hpp>

#include "egretrack/agent/agent.h"
#include "egretrack/entry/entry.h"
#include "egretrack/job_agent/job_agent.h"
#include "egretrack/job_entry/job_entry.h"
#include "egretrack/settings/file_watch.h"
#include "egretrack/settings/settings.h"
#include "egretrack/telemetry/log.h"

namespace egretrack {
namespace {

constexpr int kExitOk = 0;
constexpr int kExitUsage = 1;
constexpr int kExitInvalidSettings = 2;
constexpr int kExitStartFailed = 3;

// Interval between checks of the settings file, which may change without a
// signal. The platform requires a change to be in force within two seconds.
constexpr seconds kSettingsCheckInterval{1};
constexpr int kNoSignal = 0;

// Blocks the signals handled by HandleSignals() in the calling thread and in
// all threads that it starts later. Only HandleSignals() receives them.
sigset_t BlockSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

// A role that can apply changed settings while it runs.
template <typename Process, typename Settings>
concept reloadable = requires(Process& process, const Settings& settings) {
  process.Reload(settings);
};

// Loads the settings again and applies them. Invalid settings and settings of
// another role are ignored.
template <typename Process, typename Settings>
void ReloadSettings(Process& process, const std::string& path) {
  const telemetry::logger log("daemon");
  if constexpr (reloadable<Process, Settings>) {
    const auto loaded = settings::LoadSettings(path);
    const auto* changed = std::get_if<Settings>(&loaded.settings);
    if (loaded.faults.empty() && changed != nullptr) {
      process.Reload(*changed);
      return;
    }
    for (const auto& fault : loaded.faults)
      log.Error("Settings not reloaded: " + fault.ToString() + ".");
  } else {
    log.Warn(
        "This role cannot reload its settings; restart the process to apply "
        "changes.");
  }
}

// Returns the next signal, or kNoSignal if none arrives within `timeout`.
int WaitForSignal(const sigset_t& signals, seconds timeout) {
  const timespec timeout_spec{static_cast<std::time_t>(timeout.count()), 0};
  const int signal = sigtimedwait(&signals, nullptr, &timeout_spec);
  return signal > 0 ? signal : kNoSignal;
}

// Starts a thread that drains the process on SIGTERM and SIGINT; further ones
// of these signals have no effect. The thread reloads the settings on SIGHUP
// and when their file has changed.
template <typename Settings, typename Process>
void HandleSignals(sigset_t signals,
                   std::string path,
                   std::shared_ptr<Process> process) {
  std::thread([signals, path = std::move(path), process = std::move(process)] {
    const telemetry::logger log("daemon");
    settings::file_watch watch(path);
    for (;;) {
      const int signal = WaitForSignal(signals, kSettingsCheckInterval);
      if (signal == SIGTERM || signal == SIGINT) {
        log.Info("Stopping on signal " + std::to_string(signal) + ".");
        process->Drain();
        continue;
      }
      const bool changed =
          reloadable<Process, Settings> && watch.CheckForChange();
      if (signal == SIGHUP || changed)
        ReloadSettings<Process, Settings>(*process, path);
    }
  }).detach();
}

template <typename Process, typename Settings>
int Run(const Settings& settings, const std::string& path) {
  const sigset_t signals = BlockSignals();
  // Without this, writing to a connection that the peer has closed would
  // terminate the process.
  std::signal(SIGPIPE, SIG_IGN);
  const telemetry::logger log("daemon");
  auto started = Process::Start(settings);
  if (!started) {
    log.Error("Start failed: " + started.error().ToString() + ".");
    return kExitStartFailed;
  }
  const std::shared_ptr<Process> process = std::move(*started);
  log.Info("Started as " + settings.id + ".");
  HandleSignals<Settings>(signals, path, process);
  process->Wait();
  log.Info("Stopped.");
  return kExitOk;
}

struct role_runner {
  const std::string& path;

  int operator()(const settings::entry_settings& settings) const {
    return RunWithLogging<entry::entry_process>(settings);
  }
  int operator()(const settings::agent_settings& settings) const {
    return RunWithLogging<agent::agent_process>(settings);
  }
  int operator()(const settings::job_entry_settings& settings) const {
    return RunWithLogging<job_entry::job_entry_process>(settings);
  }
  int operator()(const settings::job_agent_settings& settings) const {
    return RunWithLogging<job_agent::job_agent_process>(settings);
  }

  template <typename Process, typename Settings>
  int RunWithLogging(const Settings& settings) const {
    const auto logging =
        telemetry::StartLogging(settings.log.level, settings.log.file);
    if (!logging) {
      std::fprintf(stderr, "%s\n", logging.error().ToString().c_str());
      return kExitInvalidSettings;
    }
    const int code = Run<Process>(settings, path);
    telemetry::StopLogging();
    return code;
  }
};

int Main(int argc, char** argv) {
  CLI::App app(
      "egretrack daemon: runs an entry or an agent, depending on its settings");
  std::string path;
  bool check_only = false;
  app.add_option("settings", path, "TOML file with the settings")->required();
  app.add_flag("--check", check_only, "Check the settings and exit");
  app.footer(
      "Exit codes:\n  0  ended after a drain, or the settings are valid\n"
      "  1  wrong usage of the command line\n  2  invalid settings\n"
      "  3  start failed");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& parse_error) {
    // CLI11 reports --help as a parse error with exit code 0.
    return app.exit(parse_error) == 0 ? kExitOk : kExitUsage;
  }

  const auto loaded = settings::LoadSettings(path);
  for (const auto& fault : loaded.faults)
    std::fprintf(stderr, "%s\n", fault.ToString().c_str());
  if (!loaded.faults.empty())
    return kExitInvalidSettings;
  if (check_only)
    return kExitOk;
  return std::visit(role_runner{path}, loaded.settings);
}

}  // namespace
}  // namespace egretrack

// Exits without running static destructors: the signal thread is still running,
// and the destructor of the log library has waited for its own threads for
// longer than the grace period of the platform.
int main(int argc, char** argv) {
  const int code = egretrack::Main(argc, argv);
  std::fflush(nullptr);
  std::_Exit(code);
}
