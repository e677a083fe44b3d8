#include "deployment.h"

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <stdexcept>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/json.hpp>

namespace review {
namespace {

namespace json = boost::json;

constexpr char kProgram[] = "target/bin/egretrackd";
constexpr char kHost[] = "desk.example";
constexpr char kService[] = "desk";
constexpr char kZone[] = "palermo";
// No shorter than the longest deadline of a case.
constexpr milliseconds kRouteTimeout{30000};
constexpr milliseconds kReadyTimeout{20000};
constexpr milliseconds kWorkerStartTime{300};

// Offsets from the first port of all machines.
enum port_offset { kJobs, kReady, kAgents, kInternal, kReports, kApp, kStore };

[[noreturn]] void GiveUp(const std::string& reason) {
  throw std::runtime_error(reason);
}

// Addresses and ports that no other run of a case uses at the same time.
std::string MakeNetwork() {
  const int pid = ::getpid();
  return "127." + std::to_string(1 + pid / 200 % 250) + "." +
         std::to_string(1 + pid % 200) + ".";
}

// All ports of a machine have to be free at the network's addresses.
int FindBasePort(const std::string& network) {
  for (int base = 20000 + ::getpid() % 500 * 20; base < 32000; base += 20) {
    bool free = true;
    for (int port = base; port < base + 10 && free; ++port) {
      const int listener = Listen({network + "1", port});
      free = listener >= 0;
      if (free)
        ::close(listener);
    }
    if (free)
      return base;
  }
  GiveUp("no free ports");
}

}  // namespace

deployment::deployment(std::string folder, record& log)
    : folder_(std::move(folder)),
      log_(log),
      base_port_(FindBasePort(MakeNetwork())),
      network_(MakeNetwork()) {
  store_address_ = At(NextHost(), kStore);
  store_ = std::make_unique<store_standin>(store_address_, log_);
}

deployment::~deployment() {
  for (const auto& [id, pid] : processes_)
    ::kill(pid, SIGKILL);
  for (const auto& [id, pid] : processes_)
    ::waitpid(pid, nullptr, 0);
  workers_.clear();
}

std::string deployment::NextHost() {
  return network_ + std::to_string(++hosts_);
}

address deployment::At(const std::string& host, int offset) const {
  return {host, base_port_ + offset};
}

std::string deployment::Seeds() const {
  std::string list;
  for (const std::string& host : seed_hosts_) {
    list +=
        (list.empty() ? "\"" : ",\"") + At(host, kReports).ToString() + "\"";
  }
  return "seeds = [" + list + "]\n";
}

void deployment::StartProcess(const std::string& id,
                              const std::string& settings) {
  const std::string path = folder_ + "/" + id + ".toml";
  std::ofstream(path) << settings;
  const std::string log = folder_ + "/" + id + ".log";
  const pid_t pid = ::fork();
  if (pid == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(out, STDOUT_FILENO);
    ::dup2(out, STDERR_FILENO);
    ::execl(kProgram, kProgram, path.c_str(), nullptr);
    ::_exit(127);
  }
  if (pid < 0)
    GiveUp("no process for " + id);
  processes_[id] = pid;
  log_.Write("process " + id + " starts");
}

// As deploy/entry.toml gives it, with `advertised` where links are relayed.
void deployment::AddEntry(const std::string& id, bool relayed) {
  const std::string host = NextHost();
  const std::string public_host = relayed ? NextHost() : host;
  entry_machine& entry = entries_[id];
  entry.jobs = At(public_host, kJobs);
  entry.ready = At(host, kReady);
  address store = store_address_;
  if (relayed) {
    for (const int port : {kJobs, kAgents, kInternal}) {
      entry.relays.push_back(
          std::make_unique<relay>(At(public_host, port), At(host, port)));
    }
    store = At(public_host, kStore);
    entry.relays.push_back(std::make_unique<relay>(store, store_address_));
  }
  seed_hosts_.push_back(public_host);
  std::string settings =
      "role = \"job_entry\"\n[job_entry]\nid = \"" + id +
      "\"\nfailure_domain = \"" + kZone + "\"\njobs = \"" +
      At(host, kJobs).ToString() + "\"\nreadiness = \"" +
      entry.ready.ToString() + "\"\nagents = \"" +
      At(host, kAgents).ToString() + "\"\ninternal = \"" +
      At(host, kInternal).ToString() + "\"\nstore = \"" + store.ToString() +
      "\"\nresubmit_after_ms = 1300\nstop_grace_s = 6\n"
      "far_run_time_factor = 1.5\nmemory_mb = 260\nmax_fds = 4100\n" +
      Seeds();
  if (relayed)
    settings +=
        "advertised = \"" + At(public_host, kAgents).ToString() + "\"\n";
  StartProcess(id, settings);
}

// As deploy/agent.toml gives it.
void deployment::AddWorker(const std::string& id,
                           milliseconds work,
                           const std::string& label) {
  const std::string host = NextHost();
  StartProcess("agent-" + id,
               "role = \"job_agent\"\n[job_agent]\nid = \"agent-" + id +
                   "\"\nfailure_domain = \"" + kZone + "\"\nreports = \"" +
                   At(host, kReports).ToString() + "\"\ninternal = \"" +
                   At(host, kInternal).ToString() +
                   "\"\nentry_port = " + std::to_string(base_port_ + kAgents) +
                   "\nstore = \"" + store_address_.ToString() +
                   "\"\nlongest_lease_ms = 1000\nresubmit_after_ms = 1300\n"
                   "stop_grace_s = 6\nmemory_mb = 128\nmax_fds = 4096\n" +
                   Seeds());
  worker_options options;
  options.id = id;
  options.service = kService;
  options.zone = kZone;
  options.at = At(host, kApp);
  options.control = At(host, kReports);
  options.work = work;
  options.label = label;
  worker_options_[id] = options;
  RestartWorker(id);
}

void deployment::RestartWorker(const std::string& id) {
  workers_.erase(id);
  workers_[id] =
      std::make_unique<worker_standin>(worker_options_.at(id), log_, starts_);
}

void deployment::ReplaceWorker(const std::string& id,
                               const std::string& new_id,
                               const std::string& label) {
  worker_options options = worker_options_.at(id);
  options.id = new_id;
  options.label = label;
  worker_options_[new_id] = options;
  workers_.erase(id);
  std::this_thread::sleep_for(kWorkerStartTime);
  RestartWorker(new_id);
}

void deployment::Freeze(const std::string& entry, bool frozen) {
  log_.Write("process " + entry + (frozen ? " is stopped" : " goes on"));
  ::kill(processes_.at(entry), frozen ? SIGSTOP : SIGCONT);
}

void deployment::Cut(const std::string& entry, bool cut) {
  log_.Write("links of " + entry + (cut ? " are cut" : " work again"));
  for (const auto& each : entries_.at(entry).relays)
    each->Cut(cut);
}

void deployment::WaitUntilReady() {
  const auto until = steady::now() + kReadyTimeout;
  for (const auto& [id, entry] : entries_) {
    while (Call(entry.ready, "GET", "/readiness", {}, "", milliseconds(500))
               .status != 200) {
      if (steady::now() > until)
        GiveUp("entry " + id + " does not become ready");
      std::this_thread::sleep_for(milliseconds(50));
    }
  }
  // All agents report to all entries within two heartbeats.
  std::this_thread::sleep_for(milliseconds(3000));
  if (!AllRunning())
    GiveUp("a process has ended");
}

bool deployment::AllRunning() const {
  for (const auto& [id, pid] : processes_) {
    siginfo_t info{};
    if (::waitid(P_PID, static_cast<id_t>(pid), &info,
                 WEXITED | WNOHANG | WNOWAIT) == 0 &&
        info.si_pid != 0) {
      return false;
    }
  }
  return true;
}

void deployment::Configure(int version,
                           const std::vector<std::string>& queues) {
  json::array routes;
  for (const std::string& queue : queues) {
    routes.push_back(json::object{{"name", "r-" + queue},
                                  {"host", kHost},
                                  {"path_prefix", "/" + queue + "/"},
                                  {"kind", "unsafe"},
                                  {"timeout_ms", kRouteTimeout.count()},
                                  {"target_duration_ms", 60},
                                  {"priority", 1},
                                  {"service", kService},
                                  {"max_attempts", 4},
                                  {"stretch", 1.6}});
  }
  store_->WriteOperatorRow(
      "config",
      json::serialize(json::object{
          {"version", version},
          {"routes", routes},
          {"services", json::array{json::object{{"name", kService},
                                                {"health_path", "/health"},
                                                {"max_conns", 64},
                                                {"protocol", "h1"},
                                                {"tls", false},
                                                {"rejects_overload", true},
                                                {"spare", false}}}},
          {"limits",
           {{"max_header_bytes", 16384},
            {"max_body_bytes", 262144},
            {"header_timeout_ms", 3000},
            {"idle_timeout_ms", 15000}}}}));
}

int deployment::Open(const std::string& entry) const {
  return Connect(entries_.at(entry).jobs);
}

answer deployment::Send(const std::string& entry,
                        const std::string& method,
                        const std::string& queue,
                        const std::string& job,
                        const std::string& body,
                        milliseconds deadline,
                        int connection) {
  const std::string target = "/" + queue + "/" + job;
  const std::string name = method + " " + target + " at " + entry;
  log_.Write("client sends " + name + " " + body);
  const response result = Call(
      entries_.at(entry).jobs, method, target,
      {{"Host", kHost}, {"X-Deadline-Ms", std::to_string(deadline.count())}},
      body, deadline, connection);
  const auto at = steady::now();
  log_.Write(name + " is answered " +
             (result.status == 0 ? "not at all: "
                                 : std::to_string(result.status) + " ") +
             result.body);
  return {result, at};
}

std::future<answer> deployment::SendAsync(const std::string& entry,
                                          const std::string& method,
                                          const std::string& queue,
                                          const std::string& job,
                                          const std::string& body,
                                          milliseconds deadline,
                                          int connection) {
  return std::async(std::launch::async, [=, this] {
    return Send(entry, method, queue, job, body, deadline, connection);
  });
}

std::string Tasks(int count, milliseconds estimate) {
  return json::serialize(json::object{
      {"best_effort", true},
      {"spec", "review"},
      {"steps", json::array{json::object{{"count", count},
                                         {"cpu", 1600},
                                         {"mem_mb", 64},
                                         {"estimate_ms", estimate.count()}}}}});
}

std::string TasksWithLabel(int count,
                           milliseconds estimate,
                           const std::string& label) {
  return json::serialize(json::object{
      {"best_effort", true},
      {"spec", "review"},
      {"steps", json::array{json::object{{"count", count},
                                         {"cpu", 1600},
                                         {"mem_mb", 64},
                                         {"estimate_ms", estimate.count()},
                                         {"required_label", label}}}}});
}

std::string ChainOfTasks(int steps, milliseconds estimate) {
  json::array list;
  for (int step = 0; step < steps; ++step) {
    json::object each{{"count", 1},
                      {"cpu", 1600},
                      {"mem_mb", 64},
                      {"estimate_ms", estimate.count()}};
    if (step > 0)
      each["after"] = json::array{step - 1};
    list.push_back(std::move(each));
  }
  return json::serialize(json::object{
      {"best_effort", true}, {"spec", "review"}, {"steps", std::move(list)}});
}

}  // namespace review
