// Runs real entries and agents beside stand-ins of the platform, injects random
// faults from outside them, and checks what callers and workers see.
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <span>
#include <string>
#include <thread>
#include <vector>

#include <CLI/CLI.hpp>

#include "soak/callers.h"
#include "soak/deployment.h"
#include "soak/faults.h"

namespace egretrack::soak {
namespace {

constexpr int kExitOk = 0;
constexpr int kExitUsage = 1;
constexpr int kExitStartFailed = 2;
constexpr int kExitViolated = 3;
constexpr milliseconds kStep{10};
// After the last fault, until service must be back: a terminated process takes
// up to 7 s to end and start again, agents another second.
constexpr seconds kRecovery{9};
constexpr int kProbes = 20;
constexpr int kProbesToComplete = 18;

struct soak_options {
  deployment_options system;
  int callers = 8;
  int duration_s = 20;
};

void Drive(deployment& system, faults* disturbances, microseconds length) {
  const monotonic_time end = monotonic_clock::now() + length;
  for (monotonic_time now = monotonic_clock::now(); now < end;
       now = monotonic_clock::now()) {
    system.Advance(now);
    if (disturbances != nullptr)
      disturbances->Advance(now);
    std::this_thread::sleep_for(kStep);
  }
}

std::vector<std::size_t> CountRunsByWorker(deployment& system, int workers) {
  std::vector<std::size_t> counts;
  counts.reserve(static_cast<std::size_t>(workers));
  for (int worker = 0; worker < workers; ++worker)
    counts.push_back(system.history().CountRunsOnWorker(worker));
  return counts;
}

// Once service is back, every worker takes part in it.
void CheckWorkersUsed(deployment& system,
                      std::span<const std::size_t> runs_before) {
  for (std::size_t worker = 0; worker < runs_before.size(); ++worker) {
    if (system.history().CountRunsOnWorker(static_cast<int>(worker)) ==
        runs_before[worker]) {
      system.history().AddViolation("worker " + std::to_string(worker) +
                                    " runs nothing after the last fault");
    }
  }
}

int Soak(const soak_options& options) {
  auto started = deployment::Start(options.system);
  if (!started) {
    std::fprintf(stderr, "%s\n", started.error().ToString().c_str());
    return kExitStartFailed;
  }
  deployment& system = **started;
  std::string sequence;
  {
    callers clients(system, options.system.seed, options.callers);
    faults disturbances(system, options.system.seed);
    Drive(system, &disturbances, seconds(options.duration_s));
    system.Heal(monotonic_clock::now());
    Drive(system, nullptr, kRecovery);
    const auto runs_before = CountRunsByWorker(system, options.system.agents);
    const int completed = clients.Probe(kProbes);
    CheckWorkersUsed(system, runs_before);
    if (completed < kProbesToComplete) {
      system.history().AddViolation(
          "service is not back: " + std::to_string(completed) + " of " +
          std::to_string(kProbes) + " jobs completed");
    }
    for (const std::string& name : disturbances.injected())
      sequence += " " + name;
    std::printf(
        "jobs %llu completed %llu refused %llu given up %llu runs %zu\n",
        static_cast<unsigned long long>(clients.counts().jobs),
        static_cast<unsigned long long>(clients.counts().completed),
        static_cast<unsigned long long>(clients.counts().refused),
        static_cast<unsigned long long>(clients.counts().given_up),
        system.history().CountRuns());
  }
  const auto violations = system.history().violations();
  for (const std::string& each : violations)
    std::printf("VIOLATED: %s\n", each.c_str());
  if (!violations.empty())
    std::printf("faults:%s\n", sequence.c_str());
  std::printf("seed %llu: %s\n",
              static_cast<unsigned long long>(options.system.seed),
              violations.empty() ? "no violation" : "VIOLATED");
  return violations.empty() ? kExitOk : kExitViolated;
}

int Main(int argc, char** argv) {
  soak_options options;
  CLI::App app("Fault soak of job entries and agents");
  app.add_option("--bin", options.system.programs, "Folder of the programs")
      ->required();
  app.add_option("--folder", options.system.folder,
                 "Folder for settings and logs, kept after a violation")
      ->required();
  app.add_option("--seed", options.system.seed, "Seed of faults and jobs");
  app.add_option("--seconds", options.duration_s, "Time with faults")
      ->check(CLI::Range(1, 3600));
  app.add_option("--entries", options.system.entries, "Entry processes")
      ->check(CLI::Range(1, 50));
  app.add_option("--agents", options.system.agents, "Agent processes")
      ->check(CLI::Range(1, 200));
  app.add_option("--callers", options.callers, "Callers at the same time")
      ->check(CLI::Range(1, 200));
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& failure) {
    return app.exit(failure) == 0 ? kExitOk : kExitUsage;
  }
  return Soak(options);
}

}  // namespace
}  // namespace egretrack::soak

int main(int argc, char** argv) {
  return egretrack::soak::Main(argc, argv);
}
