#include "soak/deployment.h"

#include <csignal>
#include <cstdio>
#include <filesystem>
#include <thread>
#include <utility>

#include "egretrack/base/file.h"
#include "platform/evacuation_rows.h"
#include "platform/standins/job_caller.h"
#include "platform/store_client.h"

namespace egretrack::soak {
namespace {

constexpr std::string_view kDesk = "gas";
// Time after SIGTERM at which the platform kills a process that still runs.
constexpr milliseconds kStopGrace{6500};
constexpr seconds kStartTimeout{10};
constexpr milliseconds kPollInterval{20};
constexpr milliseconds kReportTimeout{500};
constexpr unsigned kStatusOk = 200;
// The deadlines of successive configuration versions cycle through
// kDeadlineCount values, so that each version differs from the one before.
constexpr milliseconds kMinDeadline{1400};
constexpr milliseconds kDeadlineStep{50};
constexpr int kDeadlineCount = 5;
// Time after the operator's write from which nothing may start in the domain.
constexpr milliseconds kEvacuationBound{5000};

std::string DomainName(int domain) {
  return "d" + std::to_string(domain);
}

std::string Address(std::uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

// Returns the port stored under `key` in a port file, or 0 if there is none.
std::uint16_t ReadPort(const std::string& path, std::string_view key) {
  const auto text = ReadFile(path);
  if (!text)
    return 0;
  const std::string prefix = std::string(key) + " = ";
  const std::size_t position = text->find(prefix);
  if (position == std::string::npos)
    return 0;
  return static_cast<std::uint16_t>(
      std::strtoul(text->c_str() + position + prefix.size(), nullptr, 10));
}

}  // namespace

deployment::deployment(deployment_options options)
    : options_(std::move(options)),
      relays_(standins::relay_hub::Create()),
      entries_(static_cast<std::size_t>(options_.entry_count)),
      agents_(static_cast<std::size_t>(options_.agent_count)),
      workers_(static_cast<std::size_t>(options_.agent_count)),
      worker_labels_(static_cast<std::size_t>(options_.agent_count),
                     std::string(kWorkerLabel)),
      client_(net::http_client::Create({})),
      report_ports_(static_cast<std::size_t>(options_.agent_count)),
      internal_ports_(static_cast<std::size_t>(options_.entry_count)),
      jobs_ports_(static_cast<std::size_t>(options_.entry_count)) {}

// Ends the processes before the relays and stand-ins that they use.
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
  if (auto components_started = started->StartComponents(); !components_started)
    return components_started.error();
  return started;
}

result<void> deployment::StartComponents() {
  std::filesystem::create_directories(options_.work_folder);
  auto store = standins::row_store::Start();
  if (!store)
    return store.error();
  store_ = std::move(*store);
  store_relay_ = relays_->Open();
  store_relay_->SetTarget(store_->address().port);
  PublishConfiguration();
  if (auto written = WriteSettings(); !written)
    return written;
  PutInvalidRows();
  for (int number = 0; number < options_.agent_count; ++number)
    StartWorker(number);
  for (auto* group : {&entries_, &agents_}) {
    for (daemon& target : *group) {
      if (auto launched = Launch(target); !launched)
        return launched;
    }
  }
  const monotonic_time start_deadline = monotonic_clock::now() + kStartTimeout;
  while (monotonic_clock::now() < start_deadline) {
    Advance(monotonic_clock::now());
    bool all_ports_known = true;
    for (std::size_t entry = 0; entry < entries_.size(); ++entry)
      all_ports_known = all_ports_known && jobs_address(entry).has_value();
    if (all_ports_known)
      return {};
    std::this_thread::sleep_for(kPollInterval);
  }
  return MakeError(errc::kTimeout, "waiting for the ports of the entries");
}

result<void> deployment::WriteSettings() {
  const std::string store = Address(store_relay_->port());
  for (std::size_t index = 0; index < entries_.size(); ++index) {
    daemon& entry = entries_[index];
    entry.name = "e" + std::to_string(index);
    entry.settings_path = options_.work_folder + "/" + entry.name + ".toml";
    entry.ports_path = options_.work_folder + "/" + entry.name + ".ports";
    entry.fault_relay = relays_->Open();
    entry.caller_relay = relays_->Open();
    const std::string text =
        "role = \"job_entry\"\n[job_entry]\nid = \"" + entry.name +
        "\"\nfailure_domain = \"" +
        DomainName(static_cast<int>(index) % kDomainCount) +
        "\"\njobs = \"127.0.0.1:0\"\n"
        "readiness = \"127.0.0.1:0\"\nagents = \"127.0.0.1:0\"\n"
        "internal = \"127.0.0.1:0\"\nadvertised = \"" +
        Address(entry.fault_relay->port()) + "\"\nstore = \"" + store +
        "\"\nports_file = \"" + entry.ports_path + "\"\n" +
        options_.entry_settings;
    if (auto written = ReplaceFile(entry.settings_path, text); !written)
      return written;
  }
  for (std::size_t index = 0; index < agents_.size(); ++index) {
    daemon& agent = agents_[index];
    agent.name = "a" + std::to_string(index);
    agent.settings_path = options_.work_folder + "/" + agent.name + ".toml";
    agent.ports_path = options_.work_folder + "/" + agent.name + ".ports";
    agent.fault_relay = relays_->Open();
    const std::string text =
        "role = \"job_agent\"\n[job_agent]\nid = \"" + agent.name +
        "\"\nfailure_domain = \"" +
        DomainName(static_cast<int>(index) % kDomainCount) +
        "\"\nreports = \"127.0.0.1:0\"\n"
        "internal = \"127.0.0.1:0\"\nentry_port = 1\nstore = \"" +
        store + "\"\nports_file = \"" + agent.ports_path + "\"\n" +
        options_.agent_settings;
    if (auto written = ReplaceFile(agent.settings_path, text); !written)
      return written;
  }
  return {};
}

result<void> deployment::Launch(daemon& target) {
  std::filesystem::remove(target.ports_path);
  target.restart_at.reset();
  target.kill_at.reset();
  target.paused = false;
  target.process.reset();
  const std::string arguments[] = {target.settings_path};
  const std::string log = options_.work_folder + "/" + target.name + ".log";
  auto started = standins::child_process::Start(
      options_.program_folder + "/egretrackd", arguments, log, log);
  if (!started)
    return started.error();
  target.process.emplace(std::move(*started));
  return {};
}

void deployment::StartWorker(int number, milliseconds birth_offset) {
  const auto index = static_cast<std::size_t>(number);
  workers_[index].reset();
  standins::worker_options options;
  options.number = number;
  options.desk = std::string(kDesk);
  options.advertised = Address(agents_[index].fault_relay->port());
  options.birth_offset = birth_offset;
  options.keeps_id = options_.workers_keep_ids;
  options.random_seed = options_.seed * 1000 + index;
  options.label = worker_labels_[index];
  auto started = standins::lease_worker::Start(options, history_);
  if (!started) {
    history_.AddViolation("worker did not start: " +
                          started.error().ToString());
    return;
  }
  workers_[index] = std::move(*started);
  agents_[index].fault_relay->SetTarget(workers_[index]->address().port);
  if (report_ports_[index] != 0)
    workers_[index]->SetAgent({"127.0.0.1", report_ports_[index]});
}

void deployment::CrashWorker(int number) {
  const auto index = static_cast<std::size_t>(number);
  agents_[index].fault_relay->SetTarget(0);
  agents_[index].fault_relay->CloseConnections();
  workers_[index].reset();
}

void deployment::SendOddReport(int number, bool worker_id) {
  const auto index = static_cast<std::size_t>(number);
  if (report_ports_[index] == 0)
    return;
  const std::string id = worker_id ? "w" + std::to_string(number) : "odd";
  net::http_request request;
  request.method = "POST";
  request.target = "/instances/" + id + "/heartbeat";
  request.body =
      R"({"service":"unknown","addr":")" + Address(store_relay_->port()) +
      R"(","state":"ready","seq":1,"born":)" +
      std::to_string(
          std::chrono::duration_cast<milliseconds>(WallNow().time_since_epoch())
              .count()) +
      R"(,"capacity":{"cpu":16000,"mem_mb":32768}})";
  client_->Call({"127.0.0.1", report_ports_[index]}, std::move(request),
                kReportTimeout, [](const net::http_reply&) {});
}

// Another writer's rows must neither end a process nor hide the valid rows.
void deployment::PutInvalidRows() {
  constexpr std::size_t kDepth = 10'000;
  const std::string nested =
      std::string(kDepth, '[') + std::string(kDepth, ']');
  const std::string values[] = {
      "127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:-1", "entry:7720", "",
      nested};
  int number = 0;
  for (const std::string& value : values) {
    const std::string key = "invalid-" + std::to_string(++number);
    store_->Put(platform::kEntriesTable, key, value);
    store_->Put(platform::kWorkersTable, key, value);
    store_->Put(platform::kOperatorTable, key, value);
  }
  for (const auto table : {platform::kEntriesTable, platform::kWorkersTable,
                           platform::kOperatorTable})
    store_->PutUnencoded(table, "aaa-no-base64", "*");
  for (const char* key : {"evacuate/", "evacuate/d0"})
    store_->Put(platform::kOperatorTable, key, "[]");
  store_->PutUnencoded(platform::kOperatorTable, "evacuate/d1", "*");
  for (const daemon& agent : agents_)
    store_->Put(platform::kWorkersTable, agent.name, nested);
}

void deployment::PublishConfiguration() {
  ++config_version_;
  const milliseconds deadline =
      kMinDeadline +
      kDeadlineStep * static_cast<int>(config_version_ % kDeadlineCount);
  store_->Put(platform::kOperatorTable, platform::kConfigurationKey,
              standins::EncodeConfiguration(config_version_, deadline));
}

void deployment::SilenceConnections() {
  store_relay_->BlackholeConnections();
  for (auto* group : {&entries_, &agents_}) {
    for (daemon& target : *group)
      target.fault_relay->BlackholeConnections();
  }
}

void deployment::CheckConfigurations() {
  net::http_request request;
  request.method = "GET";
  request.target =
      "/v1/configuration?newer_than=" + std::to_string(config_version_ - 1);
  for (std::size_t index = 0; index < entries_.size(); ++index) {
    const net::http_reply reply = client_->CallAndWait(
        {"127.0.0.1", internal_ports_[index]}, request, kReportTimeout);
    if (!reply.ok || reply.response.status != kStatusOk) {
      history_.AddViolation(entries_[index].name + " has no version " +
                            std::to_string(config_version_) +
                            " of the configuration");
    }
  }
}

void deployment::Evacuate(int domain) {
  if (!evacuated_domains_.insert(domain).second)
    return;
  store_->Put(platform::kOperatorTable,
              std::string(platform::kEvacuationKeyPrefix) + DomainName(domain),
              "{}");
  const monotonic_time forbidden_from =
      monotonic_clock::now() + kEvacuationBound;
  if (!options_.check_evacuations)
    return;
  for (int agent = domain; agent < options_.agent_count; agent += kDomainCount)
    history_.ForbidRuns(agent, forbidden_from);
}

void deployment::EndEvacuation(int domain) {
  if (evacuated_domains_.erase(domain) == 0)
    return;
  for (int agent = domain; agent < options_.agent_count; agent += kDomainCount)
    history_.AllowRuns(agent);
  store_->Delete(
      platform::kOperatorTable,
      std::string(platform::kEvacuationKeyPrefix) + DomainName(domain));
}

void deployment::Kill(daemon& target,
                      monotonic_time now,
                      milliseconds down_time) {
  target.process->Signal(SIGKILL);
  target.restart_at = now + down_time;
}

void deployment::Pause(daemon& target,
                       monotonic_time now,
                       milliseconds duration) {
  target.process->Signal(SIGSTOP);
  target.paused = true;
  target.paused_until = now + duration;
}

void deployment::Terminate(daemon& target,
                           monotonic_time now,
                           milliseconds down_time) {
  target.process->Signal(SIGTERM);
  target.kill_at = now + kStopGrace;
  target.restart_at = now + kStopGrace + down_time;
}

void deployment::Advance(monotonic_time now) {
  for (auto* group : {&entries_, &agents_}) {
    for (daemon& target : *group) {
      if (target.paused && now >= target.paused_until) {
        target.paused = false;
        target.process->Signal(SIGCONT);
      }
      if (target.kill_at && !target.process->IsRunning()) {
        target.kill_at.reset();
        target.restart_at = now;
      }
      if (target.kill_at && now >= *target.kill_at) {
        history_.AddViolation(
            target.name +
            " did not exit within the grace period after SIGTERM");
        target.kill_at.reset();
        target.process->Signal(SIGKILL);
      }
      if (!target.restart_at && !target.process->IsRunning()) {
        history_.AddViolation(target.name + " exited unexpectedly");
        target.restart_at = now;
      }
      if (target.restart_at && now >= *target.restart_at && !target.kill_at) {
        if (auto launched = Launch(target); !launched)
          history_.AddViolation(target.name + " did not start");
      }
    }
  }
  ReadPortFiles();
}

void deployment::ReadPortFiles() {
  for (std::size_t index = 0; index < entries_.size(); ++index) {
    const std::uint16_t agents = ReadPort(entries_[index].ports_path, "agents");
    const std::uint16_t jobs = ReadPort(entries_[index].ports_path, "jobs");
    internal_ports_[index] = ReadPort(entries_[index].ports_path, "internal");
    if (agents != 0)
      entries_[index].fault_relay->SetTarget(agents);
    entries_[index].caller_relay->SetTarget(jobs);
    const std::lock_guard lock(mutex_);
    jobs_ports_[index] = jobs;
  }
  for (std::size_t index = 0; index < agents_.size(); ++index) {
    const std::uint16_t port = ReadPort(agents_[index].ports_path, "reports");
    if (port == 0 || port == report_ports_[index])
      continue;
    report_ports_[index] = port;
    if (workers_[index])
      workers_[index]->SetAgent({"127.0.0.1", port});
  }
}

void deployment::EndFaults(monotonic_time now) {
  store_->SetMode(standins::store_mode::kServing);
  store_relay_->BlackholeNewConnections(false);
  store_relay_->SetDelay(milliseconds(0));
  for (int domain = 0; domain < kDomainCount; ++domain)
    EndEvacuation(domain);
  store_relay_->CloseConnections();
  for (std::size_t index = 0; index < workers_.size(); ++index) {
    const int number = static_cast<int>(index);
    if (workers_[index] && worker_labels_[index] != kWorkerLabel)
      CrashWorker(number);
    SetWorkerLabel(number, std::string(kWorkerLabel));
    if (!workers_[index])
      StartWorker(number);
    workers_[index]->SetFaults({});
  }
  for (auto* group : {&entries_, &agents_}) {
    for (daemon& target : *group) {
      target.fault_relay->BlackholeNewConnections(false);
      if (target.caller_relay) {
        target.caller_relay->BlackholeNewConnections(false);
        target.caller_relay->Hold(false, milliseconds(0));
      }
      target.fault_relay->SetDelay(milliseconds(0));
      target.fault_relay->RefuseConnections(false);
      if (target.paused)
        target.paused_until = now;
      if (target.restart_at && !target.kill_at)
        target.restart_at = now;
    }
  }
}

std::optional<net::tcp_address> deployment::jobs_address(
    std::size_t entry) const {
  const std::lock_guard lock(mutex_);
  if (jobs_ports_[entry] == 0)
    return std::nullopt;
  return net::tcp_address{"127.0.0.1", entries_[entry].caller_relay->port()};
}

}  // namespace egretrack::soak
