// Fault injection soak test. Runs real entry and agent processes with stand-ins
// for the platform, injects random faults from outside the processes, and
// checks the answers that callers get against the runs that workers record.
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
constexpr milliseconds kStepInterval{10};
// Time after the last fault within which the service must recover. A terminated
// process takes up to 7 s to exit and restart, and agents take another second.
constexpr seconds kRecoveryTime{9};
constexpr int kProbeJobs = 20;
constexpr int kMinCompletedProbes = 18;

struct soak_options {
  deployment_options system;
  int caller_count = 8;
  bool callers_leave = false;
  int duration_s = 20;
  std::vector<std::string> faults;
};

// Advances the deployment and, unless null, the fault injector for `duration`.
void AdvanceFor(deployment& system,
                fault_injector* injector,
                microseconds duration) {
  const monotonic_time end = monotonic_clock::now() + duration;
  for (monotonic_time now = monotonic_clock::now(); now < end;
       now = monotonic_clock::now()) {
    system.Advance(now);
    if (injector != nullptr)
      injector->Advance(now);
    std::this_thread::sleep_for(kStepInterval);
  }
}

std::vector<std::size_t> CountRunsByWorker(deployment& system, int workers) {
  std::vector<std::size_t> counts;
  counts.reserve(static_cast<std::size_t>(workers));
  for (int worker = 0; worker < workers; ++worker)
    counts.push_back(system.history().CountRunsOnWorker(worker));
  return counts;
}

// Records a violation for each worker that began no run since `runs_before` was
// counted. After recovery, every worker must get tasks again.
void CheckWorkersUsed(deployment& system,
                      std::span<const std::size_t> runs_before) {
  for (std::size_t worker = 0; worker < runs_before.size(); ++worker) {
    if (system.history().CountRunsOnWorker(static_cast<int>(worker)) ==
        runs_before[worker]) {
      system.history().AddViolation("worker " + std::to_string(worker) +
                                    " began no run after the last fault");
    }
  }
}

int RunSoak(const soak_options& options) {
  auto created = deployment::Start(options.system);
  if (!created) {
    std::fprintf(stderr, "%s\n", created.error().ToString().c_str());
    return kExitStartFailed;
  }
  deployment& system = **created;
  std::string fault_sequence;
  {
    caller_pool callers(system, options.system.seed, options.caller_count,
                        options.callers_leave);
    fault_injector injector(system, options.system.seed, options.faults);
    AdvanceFor(system, &injector, seconds(options.duration_s));
    system.EndFaults(monotonic_clock::now());
    AdvanceFor(system, nullptr, kRecoveryTime);
    const auto runs_before =
        CountRunsByWorker(system, options.system.agent_count);
    const int completed = callers.RunProbes(kProbeJobs);
    CheckWorkersUsed(system, runs_before);
    if (completed < kMinCompletedProbes) {
      system.history().AddViolation(
          "service did not recover: " + std::to_string(completed) + " of " +
          std::to_string(kProbeJobs) + " jobs completed");
    }
    for (const std::string& name : injector.injected())
      fault_sequence += " " + name;
    std::printf(
        "jobs %llu completed %llu refused %llu given up %llu runs %zu\n",
        static_cast<unsigned long long>(callers.counts().jobs),
        static_cast<unsigned long long>(callers.counts().completed),
        static_cast<unsigned long long>(callers.counts().refused),
        static_cast<unsigned long long>(callers.counts().given_up),
        system.history().CountRuns());
  }
  const auto violations = system.history().violations();
  for (const std::string& violation : violations)
    std::printf("VIOLATED: %s\n", violation.c_str());
  if (!violations.empty())
    std::printf("faults:%s\n", fault_sequence.c_str());
  std::printf("seed %llu: %s\n",
              static_cast<unsigned long long>(options.system.seed),
              violations.empty() ? "no violation" : "VIOLATED");
  return violations.empty() ? kExitOk : kExitViolated;
}

int Main(int argc, char** argv) {
  soak_options options;
  CLI::App app("Fault injection soak test of job entries and agents");
  app.add_option("--bin", options.system.program_folder,
                 "Folder that contains egretrackd")
      ->required();
  app.add_option("--folder", options.system.work_folder,
                 "Folder for settings and logs, kept after the run")
      ->required();
  app.add_option("--seed", options.system.seed,
                 "Seed for random faults and jobs");
  app.add_option("--seconds", options.duration_s,
                 "Duration of the fault injection")
      ->check(CLI::Range(1, 3600));
  app.add_option("--entries", options.system.entry_count,
                 "Number of entry processes")
      ->check(CLI::Range(1, 50));
  app.add_option("--agents", options.system.agent_count,
                 "Number of agent processes")
      ->check(CLI::Range(1, 200));
  app.add_option("--faults", options.faults,
                 "Kinds of faults to inject; all by default")
      ->delimiter(',');
  app.add_flag("--keep-ids", options.system.workers_keep_ids,
               "Workers keep their id when they restart");
  app.add_flag("--check-evacuations", options.system.check_evacuations,
               "Check that nothing starts in an evacuated domain");
  app.add_flag("--check-configurations", options.system.check_configurations,
               "Check that entries follow the configuration after silences");
  app.add_flag("--callers-leave", options.callers_leave,
               "Callers leave before the end of long jobs, and return");
  app.add_option("--callers", options.caller_count,
                 "Number of concurrent callers")
      ->check(CLI::Range(0, 200));
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& failure) {
    return app.exit(failure) == 0 ? kExitOk : kExitUsage;
  }
  return RunSoak(options);
}

}  // namespace
}  // namespace egretrack::soak

int main(int argc, char** argv) {
  return egretrack::soak::Main(argc, argv);
}
