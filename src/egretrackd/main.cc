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

// How often the settings file is compared with what was read, as it may change
// without a signal. A change is in force well within the platform's bound of
// two seconds.
constexpr seconds kSettingsInterval{1};
constexpr int kNoSignal = 0;

// Blocks the signals that this process handles in this and all later threads,
// so that only HandleSignals() sees them.
sigset_t BlockSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

// A role whose settings may change while it runs.
template <typename Process, typename Settings>
concept reloadable = requires(Process& process, const Settings& settings) {
  process.Reload(settings);
};

// Settings with a fault, or of another role, change nothing.
template <typename Process, typename Settings>
void Reload(Process& process, const std::string& path) {
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
    log.Warn("This role does not reload its settings; restart it.");
  }
}

// The next signal, or kNoSignal after `interval`.
int WaitForSignal(const sigset_t& signals, seconds interval) {
  const timespec bound{static_cast<std::time_t>(interval.count()), 0};
  const int signal = sigtimedwait(&signals, nullptr, &bound);
  return signal > 0 ? signal : kNoSignal;
}

// Turns every shutdown signal into a drain; later ones change nothing. Settings
// are read again on SIGHUP and when their file has changed.
template <typename Settings, typename Process>
void HandleSignals(sigset_t signals,
                   std::string path,
                   std::shared_ptr<Process> process) {
  std::thread([signals, path = std::move(path), process = std::move(process)] {
    const telemetry::logger log("daemon");
    settings::file_watch watch(path);
    for (;;) {
      const int signal = WaitForSignal(signals, kSettingsInterval);
      if (signal == SIGTERM || signal == SIGINT) {
        log.Info("Stopping on signal " + std::to_string(signal) + ".");
        process->Drain();
        continue;
      }
      const bool changed =
          reloadable<Process, Settings> && watch.CheckForChange();
      if (signal == SIGHUP || changed)
        Reload<Process, Settings>(*process, path);
    }
  }).detach();
}

template <typename Process, typename Settings>
int Run(const Settings& settings, const std::string& path) {
  const sigset_t signals = BlockSignals();
  // A peer that closes its connection must not end the process.
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

struct run_role {
  const std::string& path;

  int operator()(const settings::entry_settings& settings) const {
    return Start<entry::entry_process>(settings);
  }
  int operator()(const settings::agent_settings& settings) const {
    return Start<agent::agent_process>(settings);
  }
  int operator()(const settings::job_entry_settings& settings) const {
    return Start<job_entry::job_entry_process>(settings);
  }
  int operator()(const settings::job_agent_settings& settings) const {
    return Start<job_agent::job_agent_process>(settings);
  }

  template <typename Process, typename Settings>
  int Start(const Settings& settings) const {
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
  CLI::App app("egretrack daemon: an entry or an agent, as its settings say");
  std::string path;
  bool check = false;
  app.add_option("settings", path, "TOML file with the settings")->required();
  app.add_flag("--check", check, "Check the settings and exit");
  app.footer(
      "Exit codes:\n  0  ended after a drain, or the settings are valid\n"
      "  1  wrong usage of the command line\n  2  invalid settings\n"
      "  3  start failed");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& failure) {
    // Zero is the code of --help.
    return app.exit(failure) == 0 ? kExitOk : kExitUsage;
  }

  const auto loaded = settings::LoadSettings(path);
  for (const auto& fault : loaded.faults)
    std::fprintf(stderr, "%s\n", fault.ToString().c_str());
  if (!loaded.faults.empty())
    return kExitInvalidSettings;
  if (check)
    return kExitOk;
  return std::visit(run_role{path}, loaded.settings);
}

}  // namespace
}  // namespace egretrack

// Ends without static destructors: the thread that waits for signals still
// runs, and the destruction of the log library has waited for its own threads
// beyond the platform's grace time.
int main(int argc, char** argv) {
  const int code = egretrack::Main(argc, argv);
  std::fflush(nullptr);
  std::_Exit(code);
}
