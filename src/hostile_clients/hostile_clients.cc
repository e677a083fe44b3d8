// Starts an entry and an agent with stand-ins for the platform, attacks their
// ports with a fixed number of clients that send a fixed number of bytes, and
// checks that the processes live, stay within their memory and descriptors, and
// answer an ordinary job afterwards.
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <memory>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>

#include <CLI/CLI.hpp>

#include "egretrack/base/file.h"
#include "hostile_clients/attack_table.h"
#include "hostile_clients/client_group.h"
#include "platform/standins/job_caller.h"
#include "soak/deployment.h"

namespace egretrack::hostile_clients {
namespace {

constexpr int kExitOk = 0;
constexpr int kExitUsage = 1;
constexpr int kExitStartFailed = 2;
constexpr int kExitViolated = 3;

// The smallest machine has 120 MB; a fifth is left to the system.
constexpr std::size_t kMaxResidentKib = std::size_t{96} * 1024;
constexpr milliseconds kProbeInterval{250};
constexpr milliseconds kProbeDeadline{2500};
constexpr milliseconds kProbeRunTime{20};
// A process that uses less than a tenth of a processor has handled what it was
// sent. The time is measured in ticks of 10 ms.
constexpr milliseconds kSettleInterval{500};
constexpr unsigned long kMaxIdleTicks = 5;
constexpr int kMaxSettleIntervals = 40;
// Bounds the test only; ordinary jobs are tried again until one completes.
constexpr int kProbeAttempts = 20;

struct process_state {
  bool alive = false;
  std::size_t peak_resident_kib = 0;
  std::size_t descriptors = 0;
};

process_state ReadState(standins::child_process& process) {
  process_state state;
  state.alive = process.IsRunning();
  const std::string folder = "/proc/" + std::to_string(process.pid());
  constexpr std::string_view kPeak = "VmHWM:";
  if (const auto status = ReadFile(folder + "/status")) {
    const std::size_t position = status->find(kPeak);
    if (position != std::string::npos) {
      state.peak_resident_kib =
          std::strtoul(status->c_str() + position + kPeak.size(), nullptr, 10);
    }
  }
  std::error_code failure;
  for (std::filesystem::directory_iterator entry(folder + "/fd", failure), end;
       !failure && entry != end; entry.increment(failure)) {
    ++state.descriptors;
  }
  return state;
}

// Processor time that the process has used, in ticks.
unsigned long ReadProcessorTicks(const standins::child_process& process) {
  constexpr int kFieldsBefore = 12;  // Between the name and the user time.
  const auto stat =
      ReadFile("/proc/" + std::to_string(process.pid()) + "/stat");
  const std::size_t name_end = stat ? stat->rfind(')') : std::string::npos;
  if (name_end == std::string::npos)
    return 0;
  std::istringstream fields(stat->substr(name_end + 1));
  std::string skipped;
  for (int field = 0; field < kFieldsBefore - 1; ++field)
    fields >> skipped;
  unsigned long user = 0;
  unsigned long system = 0;
  fields >> user >> system;
  return user + system;
}

std::uint16_t ReadPort(const std::string& path, std::string_view key) {
  const auto text = ReadFile(path);
  const std::string line = std::string(key) + " = ";
  const std::size_t position = text ? text->find(line) : std::string::npos;
  if (position == std::string::npos)
    return 0;
  return static_cast<std::uint16_t>(
      std::strtoul(text->c_str() + position + line.size(), nullptr, 10));
}

struct port_place {
  std::string_view key;  // In the file of ports.
  bool at_entry = false;
};

port_place PlaceOf(attacked_port port) {
  switch (port) {
    case attacked_port::kJobs:
      return {"jobs", true};
    case attacked_port::kReadiness:
      return {"readiness", true};
    case attacked_port::kEntryInternal:
      return {"internal", true};
    case attacked_port::kReports:
      return {"reports", false};
    case attacked_port::kAgentInternal:
      return {"internal", false};
    case attacked_port::kAgents:
      return {"agents", true};
  }
  return {};
}

class attack_run {
 public:
  attack_run(soak::deployment& system, const attack& chosen)
      : system_(system), attack_(chosen) {}

  // Returns the number of violations.
  int Run() {
    Expect(ProbeCompletes(), "an ordinary job before the attack");
    {
      client_group clients;
      for (const attacked_port port : attack_.ports)
        Attack(clients, port);
      if (attack_.leaves_worker_free)
        Expect(ProbeCompletes(), "an ordinary job during the attack");
    }
    Expect(ProbeCompletes(), "an ordinary job after the attack");
    CheckProcesses("afterwards");
    return violations_;
  }

 private:
  void Attack(client_group& clients, attacked_port port) {
    const port_place place = PlaceOf(port);
    const soak::daemon& target =
        place.at_entry ? system_.entries().front() : system_.agents().front();
    const net::tcp_address address{"127.0.0.1",
                                   ReadPort(target.ports_path, place.key)};
    for (std::size_t number = 0; number < attack_.connections_per_port;
         ++number) {
      const auto opened =
          clients.Open(address, 1, attack_.make_stream(port, number));
      Expect(opened.has_value(), "a connection of a client");
    }
    clients.SendAll();
    WaitUntilSettled(*target.process);
    CheckProcesses(target.name + " " + std::string(place.key));
  }

  void CheckProcesses(const std::string& when) {
    for (auto* group : {&system_.entries(), &system_.agents()}) {
      for (soak::daemon& target : *group) {
        const process_state state = ReadState(*target.process);
        std::printf("%s: %s peak %zu KiB, %zu descriptors\n", when.c_str(),
                    target.name.c_str(), state.peak_resident_kib,
                    state.descriptors);
        Expect(state.alive, target.name + " alive, " + when);
        Expect(state.peak_resident_kib <= kMaxResidentKib,
               target.name + " within its memory, " + when);
        Expect(state.descriptors <= attack_.max_descriptors,
               target.name + " within its descriptors, " + when);
      }
    }
  }

  void WaitUntilSettled(const standins::child_process& process) {
    unsigned long before = ReadProcessorTicks(process);
    for (int interval = 0; interval < kMaxSettleIntervals; ++interval) {
      std::this_thread::sleep_for(kSettleInterval);
      const unsigned long now = ReadProcessorTicks(process);
      if (now - before <= kMaxIdleTicks)
        return;
      before = now;
    }
  }

  bool ProbeCompletes() {
    for (int attempt = 0; attempt < kProbeAttempts; ++attempt) {
      system_.Advance(monotonic_clock::now());
      if (SubmitProbe())
        return true;
      std::this_thread::sleep_for(kProbeInterval);
    }
    return false;
  }

  // Each probe is a new job on a new connection.
  bool SubmitProbe() {
    const auto entry = system_.jobs_address(0);
    if (!entry)
      return false;
    scheduler::job_step step;
    step.need = {1600, 64, 0};
    step.estimate = kProbeRunTime;
    scheduler::job_submission job;
    job.path = "/find/probe-" + std::to_string(++last_probe_);
    job.deadline = kProbeDeadline;
    job.spec = R"({"ms":20,"cpu":1600})";
    job.steps.push_back(step);
    const net::http_reply reply = net::http_client::Create({})->CallAndWait(
        *entry, standins::EncodeSubmission(job), kProbeDeadline);
    return reply.ok && standins::IsCompleted(reply.response);
  }

  void Expect(bool holds, const std::string& what) {
    if (holds)
      return;
    ++violations_;
    std::printf("VIOLATED: %s\n", what.c_str());
  }

  soak::deployment& system_;
  const attack& attack_;
  int last_probe_ = 0;
  int violations_ = 0;
};

int RunAttack(soak::deployment_options options, const attack& chosen) {
  options.entry_count = 1;
  options.agent_count = 1;
  options.entry_settings = chosen.entry_settings;
  std::filesystem::remove_all(options.work_folder);
  auto created = soak::deployment::Start(options);
  if (!created) {
    std::fprintf(stderr, "%s\n", created.error().ToString().c_str());
    return kExitStartFailed;
  }
  const int violations = attack_run(**created, chosen).Run();
  std::printf("%s: %s\n", std::string(chosen.name).c_str(),
              violations == 0 ? "no violation" : "VIOLATED");
  return violations == 0 ? kExitOk : kExitViolated;
}

int Main(int argc, char** argv) {
  soak::deployment_options options;
  std::string name;
  CLI::App app("Attacks an entry and an agent with clients outside the limits");
  app.add_option("--bin", options.program_folder,
                 "Folder that contains egretrackd")
      ->required();
  app.add_option("--folder", options.work_folder,
                 "Folder for settings and logs, kept after the run")
      ->required();
  app.add_option("--attack", name, "Name of the attack")->required();
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& failure) {
    return app.exit(failure) == 0 ? kExitOk : kExitUsage;
  }
  for (const attack& each : AllAttacks()) {
    if (each.name == name)
      return RunAttack(options, each);
  }
  std::fprintf(stderr, "no attack '%s'\n", name.c_str());
  return kExitUsage;
}

}  // namespace
}  // namespace egretrack::hostile_clients

int main(int argc, char** argv) {
  return egretrack::hostile_clients::Main(argc, argv);
}
