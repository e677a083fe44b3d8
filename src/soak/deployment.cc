#include "soak/deployment.h"

#include <csignal>
#include <cstdio>
#include <filesystem>
#include <thread>
#include <utility>

#include "egretrack/base/file.h"
#include "platform/standins/job_caller.h"
#include "platform/store_client.h"

namespace egretrack::soak {
namespace {

constexpr std::string_view kDesk = "gas";
// The platform ends a process that is still there after this time.
constexpr milliseconds kGrace{6500};
constexpr seconds kStartBound{10};
constexpr milliseconds kPoll{20};
// Each version has another deadline than the one before.
constexpr milliseconds kShortestDeadline{1400};
constexpr milliseconds kDeadlineStep{50};
constexpr int kDeadlines = 5;

std::string Address(std::uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

// The number after `key` in a file of ports, 0 when there is none.
std::uint16_t PortIn(const std::string& path, std::string_view key) {
  const auto text = ReadFile(path);
  if (!text)
    return 0;
  const std::string wanted = std::string(key) + " = ";
  const std::size_t at = text->find(wanted);
  if (at == std::string::npos)
    return 0;
  return static_cast<std::uint16_t>(
      std::strtoul(text->c_str() + at + wanted.size(), nullptr, 10));
}

}  // namespace

deployment::deployment(deployment_options options)
    : options_(std::move(options)),
      relays_(standins::relay_hub::Create()),
      entries_(static_cast<std::size_t>(options_.entries)),
      agents_(static_cast<std::size_t>(options_.agents)),
      workers_(static_cast<std::size_t>(options_.agents)),
      agent_ports_(static_cast<std::size_t>(options_.agents)),
      jobs_ports_(static_cast<std::size_t>(options_.entries)) {}

// Processes go before the relays and stand-ins that they use.
deployment::~deployment() {
  entries_.clear();
  agents_.clear();
  workers_.clear();
  store_relay_.reset();
  store_.reset();
}

result<std::unique_ptr<deployment>> deployment::Start(
    deployment_options options) {
  std::unique_ptr<deployment> started(new deployment(std::move(options)));
  if (auto begun = started->Begin(); !begun)
    return begun.error();
  return started;
}

result<void> deployment::Begin() {
  std::filesystem::create_directories(options_.folder);
  auto store = standins::row_store::Start();
  if (!store)
    return store.error();
  store_ = std::move(*store);
  store_relay_ = relays_->Open();
  store_relay_->SetTarget(store_->address().port);
  Publish();
  if (auto written = WriteSettings(); !written)
    return written;
  for (int number = 0; number < options_.agents; ++number)
    StartWorker(number);
  for (auto* group : {&entries_, &agents_}) {
    for (daemon& each : *group) {
      if (auto launched = Launch(each); !launched)
        return launched;
    }
  }
  const monotonic_time bound = monotonic_clock::now() + kStartBound;
  while (monotonic_clock::now() < bound) {
    Advance(monotonic_clock::now());
    bool all = true;
    for (std::size_t entry = 0; entry < entries_.size(); ++entry)
      all = all && jobs_address(entry).has_value();
    if (all)
      return {};
    std::this_thread::sleep_for(kPoll);
  }
  return MakeError(errc::kTimeout, "start of the entries");
}

result<void> deployment::WriteSettings() {
  const std::string store = Address(store_relay_->port());
  for (std::size_t index = 0; index < entries_.size(); ++index) {
    daemon& entry = entries_[index];
    entry.name = "e" + std::to_string(index);
    entry.settings = options_.folder + "/" + entry.name + ".toml";
    entry.ports = options_.folder + "/" + entry.name + ".ports";
    entry.in = relays_->Open();
    const std::string text =
        "role = \"job_entry\"\n[job_entry]\nid = \"" + entry.name +
        "\"\nfailure_domain = \"d\"\njobs = \"127.0.0.1:0\"\n"
        "readiness = \"127.0.0.1:0\"\nagents = \"127.0.0.1:0\"\n"
        "internal = \"127.0.0.1:0\"\nadvertised = \"" +
        Address(entry.in->port()) + "\"\nstore = \"" + store +
        "\"\nports_file = \"" + entry.ports + "\"\n";
    if (auto written = ReplaceFile(entry.settings, text); !written)
      return written;
  }
  for (std::size_t index = 0; index < agents_.size(); ++index) {
    daemon& agent = agents_[index];
    agent.name = "a" + std::to_string(index);
    agent.settings = options_.folder + "/" + agent.name + ".toml";
    agent.ports = options_.folder + "/" + agent.name + ".ports";
    agent.in = relays_->Open();
    const std::string text =
        "role = \"job_agent\"\n[job_agent]\nid = \"" + agent.name +
        "\"\nfailure_domain = \"d\"\nreports = \"127.0.0.1:0\"\n"
        "internal = \"127.0.0.1:0\"\nentry_port = 1\nstore = \"" +
        store + "\"\nports_file = \"" + agent.ports + "\"\n";
    if (auto written = ReplaceFile(agent.settings, text); !written)
      return written;
  }
  return {};
}

result<void> deployment::Launch(daemon& target) {
  std::filesystem::remove(target.ports);
  target.start_at.reset();
  target.kill_at.reset();
  target.paused = false;
  target.process.reset();
  const std::string arguments[] = {target.settings};
  const std::string log = options_.folder + "/" + target.name + ".log";
  auto started = standins::child_process::Start(
      options_.programs + "/egretrackd", arguments, log, log);
  if (!started)
    return started.error();
  target.process.emplace(std::move(*started));
  return {};
}

void deployment::StartWorker(int number) {
  const auto index = static_cast<std::size_t>(number);
  workers_[index].reset();
  standins::worker_options options;
  options.number = number;
  options.desk = std::string(kDesk);
  options.advertised = Address(agents_[index].in->port());
  options.random_seed = options_.seed * 1000 + index;
  auto started = standins::lease_worker::Start(options, history_);
  if (!started) {
    history_.AddViolation("worker not started: " + started.error().ToString());
    return;
  }
  workers_[index] = std::move(*started);
  agents_[index].in->SetTarget(workers_[index]->address().port);
  if (agent_ports_[index] != 0)
    workers_[index]->SetAgent({"127.0.0.1", agent_ports_[index]});
}

void deployment::CrashWorker(int number) {
  const auto index = static_cast<std::size_t>(number);
  agents_[index].in->SetTarget(0);
  agents_[index].in->CloseConnections();
  workers_[index].reset();
}

void deployment::Publish() {
  ++version_;
  const milliseconds deadline =
      kShortestDeadline +
      kDeadlineStep * static_cast<int>(version_ % kDeadlines);
  store_->Put(platform::kOperatorTable, platform::kConfigurationKey,
              standins::EncodeConfiguration(version_, deadline));
}

void deployment::Kill(daemon& target, monotonic_time now, milliseconds down) {
  target.process->Signal(SIGKILL);
  target.start_at = now + down;
}

void deployment::Pause(daemon& target,
                       monotonic_time now,
                       milliseconds length) {
  target.process->Signal(SIGSTOP);
  target.paused = true;
  target.paused_until = now + length;
}

void deployment::Terminate(daemon& target,
                           monotonic_time now,
                           milliseconds down) {
  target.process->Signal(SIGTERM);
  target.kill_at = now + kGrace;
  target.start_at = now + kGrace + down;
}

void deployment::Advance(monotonic_time now) {
  for (auto* group : {&entries_, &agents_}) {
    for (daemon& each : *group) {
      if (each.paused && now >= each.paused_until) {
        each.paused = false;
        each.process->Signal(SIGCONT);
      }
      if (each.kill_at && !each.process->IsRunning()) {
        each.kill_at.reset();
        each.start_at = now;
      }
      if (each.kill_at && now >= *each.kill_at) {
        history_.AddViolation(each.name + " did not end in time after SIGTERM");
        each.kill_at.reset();
        each.process->Signal(SIGKILL);
      }
      if (!each.start_at && !each.process->IsRunning()) {
        history_.AddViolation(each.name + " ended by itself");
        each.start_at = now;
      }
      if (each.start_at && now >= *each.start_at && !each.kill_at) {
        if (auto launched = Launch(each); !launched)
          history_.AddViolation(each.name + " not started");
      }
    }
  }
  ReadPorts();
}

void deployment::ReadPorts() {
  for (std::size_t index = 0; index < entries_.size(); ++index) {
    const std::uint16_t agents = PortIn(entries_[index].ports, "agents");
    const std::uint16_t jobs = PortIn(entries_[index].ports, "jobs");
    if (agents != 0)
      entries_[index].in->SetTarget(agents);
    const std::lock_guard lock(mutex_);
    jobs_ports_[index] = jobs;
  }
  for (std::size_t index = 0; index < agents_.size(); ++index) {
    const std::uint16_t port = PortIn(agents_[index].ports, "reports");
    if (port == 0 || port == agent_ports_[index])
      continue;
    agent_ports_[index] = port;
    if (workers_[index])
      workers_[index]->SetAgent({"127.0.0.1", port});
  }
}

void deployment::Heal(monotonic_time now) {
  store_->SetMode(standins::store_mode::kServing);
  store_relay_->BlackholeNewConnections(false);
  store_relay_->SetDelay(milliseconds(0));
  store_relay_->CloseConnections();
  for (std::size_t index = 0; index < workers_.size(); ++index) {
    if (!workers_[index])
      StartWorker(static_cast<int>(index));
    workers_[index]->SetFaults({});
  }
  for (auto* group : {&entries_, &agents_}) {
    for (daemon& each : *group) {
      each.in->BlackholeNewConnections(false);
      each.in->SetDelay(milliseconds(0));
      if (each.paused)
        each.paused_until = now;
      if (each.start_at && !each.kill_at)
        each.start_at = now;
    }
  }
}

std::optional<net::tcp_address> deployment::jobs_address(
    std::size_t entry) const {
  const std::lock_guard lock(mutex_);
  if (jobs_ports_[entry] == 0)
    return std::nullopt;
  return net::tcp_address{"127.0.0.1", jobs_ports_[entry]};
}

}  // namespace egretrack::soak
