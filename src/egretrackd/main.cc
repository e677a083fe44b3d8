#include <csignal>
#include <cstdio>
#include <memory>
#include <string>
#include <thread>
#include <variant>

#include <CLI/CLI.hpp>

#include "egretrack/agent/agent.h"
#include "egretrack/entry/entry.h"
#include "egretrack/settings/settings.h"
#include "egretrack/telemetry/log.h"

namespace egretrack {
namespace {

constexpr int kExitOk = 0;
constexpr int kExitUsage = 1;
constexpr int kExitInvalidSettings = 2;
constexpr int kExitStartFailed = 3;

// Blocks the shutdown signals in this and all later threads, so that only
// WaitForSignals() sees them.
sigset_t BlockShutdownSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

// Turns every shutdown signal into a drain; later ones change nothing.
template <typename Process>
void DrainOnSignals(sigset_t signals, std::shared_ptr<Process> process) {
  std::thread([signals, process = std::move(process)] {
    int signal = 0;
    while (sigwait(&signals, &signal) == 0)
      process->Drain();
  }).detach();
}

template <typename Process, typename Settings>
int Run(const Settings& settings) {
  const sigset_t signals = BlockShutdownSignals();
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
  DrainOnSignals(signals, process);
  process->Wait();
  log.Info("Stopped.");
  return kExitOk;
}

struct run_role {
  int operator()(const settings::entry_settings& settings) const {
    return Start<entry::entry_process>(settings);
  }
  int operator()(const settings::agent_settings& settings) const {
    return Start<agent::agent_process>(settings);
  }

  template <typename Process, typename Settings>
  static int Start(const Settings& settings) {
    const auto logging =
        telemetry::StartLogging(settings.log.level, settings.log.file);
    if (!logging) {
      std::fprintf(stderr, "%s\n", logging.error().ToString().c_str());
      return kExitInvalidSettings;
    }
    return Run<Process>(settings);
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
  return std::visit(run_role{}, loaded.settings);
}

}  // namespace
}  // namespace egretrack

int main(int argc, char** argv) {
  return egretrack::Main(argc, argv);
}
