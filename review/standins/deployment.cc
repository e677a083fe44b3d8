#include "review/standins/deployment.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <random>
#include <thread>
#include <utility>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace egretrack::review {
namespace {

namespace json = boost::json;

constexpr int kSeedCount = 3;
// Of the entries, and of the agents in turn.
constexpr const char* kZones[] = {"palermo", "catania", "messina", "siracusa"};
constexpr int kZoneCount = 4;
// Offsets from the first port, the same on every machine.
constexpr int kAgentsPort = 0;
constexpr int kInternalPort = 1;
constexpr int kFrontPort = 2;
constexpr int kReadyPort = 3;
constexpr int kControlPort = 4;
constexpr int kWorkerPort = 5;

std::string ZoneOf(int number) {
  return kZones[(number - 1) % kZoneCount];
}

// Such as "front-palermo-1".
std::string NodeName(const std::string& machine_class, int number) {
  return machine_class + "-" + ZoneOf(number) + "-" +
         std::to_string((number - 1) / kZoneCount + 1);
}

bool IsFree(const std::string& host, std::uint16_t port) {
  return net::http_server::Listen({host, port}, 1, {},
                                  [](const net::http_exchange_ptr&) {})
      .has_value();
}

// Sends one request on a new connection and reads the response.
attempt_result Exchange(const std::string& ip,
                        std::uint16_t port,
                        const std::string& request,
                        milliseconds timeout) {
  const monotonic_time deadline = monotonic_clock::now() + timeout;
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  attempt_result result;
  std::string input;
  bool usable = connect(fd, reinterpret_cast<const sockaddr*>(&address),
                        sizeof(address)) == 0 &&
                send(fd, request.data(), request.size(), MSG_NOSIGNAL) ==
                    static_cast<ssize_t>(request.size());
  while (usable) {
    const auto left = std::chrono::duration_cast<milliseconds>(
        deadline - monotonic_clock::now());
    pollfd wait{fd, POLLIN, 0};
    if (left.count() <= 0 || poll(&wait, 1, static_cast<int>(left.count())) < 1)
      break;
    char bytes[4096];
    const ssize_t size = recv(fd, bytes, sizeof(bytes), 0);
    if (size <= 0)
      break;
    input.append(bytes, static_cast<std::size_t>(size));
    const std::size_t end = input.find("\r\n\r\n");
    const std::size_t field = input.find("Content-Length: ");
    if (end == std::string::npos || field > end)
      continue;
    const std::size_t length =
        std::strtoul(input.c_str() + field + 16, nullptr, 10);
    if (input.size() < end + 4 + length)
      continue;
    result.status = static_cast<unsigned>(
        std::strtoul(input.c_str() + input.find(' '), nullptr, 10));
    result.body = input.substr(end + 4, length);
    break;
  }
  close(fd);
  return result;
}

// A started process must not inherit the sockets of the stand-ins: a worker
// that has crashed would seem to listen still.
void CloseOnExec() {
  constexpr int kFirst = 3;
  constexpr int kLast = 1024;
  for (int fd = kFirst; fd < kLast; ++fd)
    fcntl(fd, F_SETFD, FD_CLOEXEC);
}

}  // namespace

bool Trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

void SleepFor(milliseconds time) {
  std::this_thread::sleep_for(time);
}

std::unique_ptr<deployment> deployment::Create(int argc, char** argv) {
  if (argc != 4) {
    std::cerr << "usage: driver PROGRAM WORK_FOLDER RECORD\n";
    return nullptr;
  }
  std::unique_ptr<deployment> created(new deployment());
  created->program_ = argv[1];
  created->folder_ = argv[2];
  created->record_ = std::make_unique<record>(argv[3]);
  std::random_device random;
  for (int attempt = 0; attempt < 20; ++attempt) {
    created->network_ = "127." + std::to_string(20 + random() % 200);
    created->ports_ = static_cast<std::uint16_t>(20000 + random() % 10000);
    bool free = true;
    for (int offset = 0; offset <= kWorkerPort; ++offset) {
      free =
          free && IsFree(created->EntryIp(1),
                         static_cast<std::uint16_t>(created->ports_ + offset));
    }
    if (free)
      return created;
  }
  return nullptr;
}

deployment::~deployment() {
  for (auto& [name, process] : processes_)
    process.Signal(SIGKILL);
  processes_.clear();
  store_.reset();
}

std::string deployment::EntryIp(int number) const {
  return network_ + ".1." + std::to_string(number);
}

std::string deployment::AgentIp(int number) const {
  return network_ + ".2." + std::to_string(number);
}

bool deployment::StartPlatform() {
  auto store = standins::row_store::Start();
  if (!store)
    return false;
  store_ = std::move(*store);
  PutConfiguration(4, 1500);
  return true;
}

void deployment::PutConfiguration(std::int64_t version,
                                  std::int64_t timeout_ms) {
  const json::object route{{"name", "r-riassegna"},
                           {"host", kHost},
                           {"path_prefix", kPrefix},
                           {"kind", "unsafe"},
                           {"timeout_ms", timeout_ms},
                           {"target_duration_ms", 60},
                           {"priority", 2},
                           {"service", kService},
                           {"max_attempts", 2},
                           {"stretch", 1.6}};
  const json::object service{{"name", kService}, {"health_path", "/health"},
                             {"max_conns", 64},  {"protocol", "h1"},
                             {"tls", false},     {"rejects_overload", true},
                             {"spare", false}};
  store_->Put("op", "config",
              json::serialize(json::object{
                  {"version", version},
                  {"routes", json::array{route}},
                  {"services", json::array{service}},
                  {"limits", json::object{{"max_header_bytes", 16384},
                                          {"max_body_bytes", 262144},
                                          {"header_timeout_ms", 3000},
                                          {"idle_timeout_ms", 15000}}}}));
  record_->Note("configuration " + std::to_string(version) +
                " acknowledged by the store");
}

std::string deployment::Seeds() const {
  std::string seeds;
  for (int number = 1; number <= kSeedCount; ++number) {
    seeds += seeds.empty() ? "" : ",";
    seeds += "\"" + EntryIp(number) + ":" +
             std::to_string(ports_ + kControlPort) + "\"";
  }
  return seeds;
}

std::string deployment::EntrySettings(int number) const {
  const std::string ip = EntryIp(number);
  const auto at = [&](int offset) {
    return "\"" + ip + ":" + std::to_string(ports_ + offset) + "\"\n";
  };
  return "role = \"job_entry\"\n\n[job_entry]\nid = \"front-palermo-" +
         std::to_string(number) +
         "\"\nfailure_domain = \"palermo\"\njobs = " + at(kFrontPort) +
         "readiness = " + at(kReadyPort) + "agents = " + at(kAgentsPort) +
         "internal = " + at(kInternalPort) + "store = \"" +
         store_->address().ToString() +
         "\"\nresubmit_after_ms = 1300\nstop_grace_s = 6\nseeds = [" + Seeds() +
         "]\n";
}

std::string deployment::AgentSettings(int number) const {
  const std::string ip = AgentIp(number);
  const auto at = [&](int offset) {
    return "\"" + ip + ":" + std::to_string(ports_ + offset) + "\"\n";
  };
  return "role = \"job_agent\"\n\n[job_agent]\nid = \"" +
         NodeName("side", number) + "\"\nfailure_domain = \"" + ZoneOf(number) +
         "\"\nreports = " + at(kControlPort) +
         "internal = " + at(kInternalPort) +
         "entry_port = " + std::to_string(ports_ + kAgentsPort) +
         "\nstore = \"" + store_->address().ToString() +
         "\"\nlongest_lease_ms = 1000\nresubmit_after_ms = 1300\n"
         "stop_grace_s = 6\nseeds = [" +
         Seeds() + "]\n";
}

bool deployment::StartProcess(const std::string& name,
                              const std::string& settings) {
  const std::string path = folder_ + "/" + name + ".toml";
  std::ofstream(path) << settings;
  const std::string arguments[] = {path};
  const std::string output = folder_ + "/" + name + ".log";
  const auto old = processes_.find(name);
  if (old != processes_.end())
    processes_.erase(old);
  CloseOnExec();
  auto started =
      standins::child_process::Start(program_, arguments, output, output);
  if (!started)
    return false;
  processes_.emplace(name, std::move(*started));
  record_->Note("process " + name + " is started");
  return true;
}

bool deployment::StartEntry(int number) {
  return StartProcess("entry-" + std::to_string(number), EntrySettings(number));
}

bool deployment::StartAgent(int number) {
  return StartProcess("agent-" + std::to_string(number), AgentSettings(number));
}

void deployment::SignalEntry(int number, int signal) {
  record_->Note("signal " + std::to_string(signal) + " to entry-" +
                std::to_string(number));
  processes_.at("entry-" + std::to_string(number)).Signal(signal);
}

worker_options deployment::WorkerOptions(int number) const {
  worker_options options;
  options.name = "w" + std::to_string(number);
  options.id = "i-" + std::to_string(number);
  options.service = kService;
  options.zone = ZoneOf(number);
  options.address = {AgentIp(number),
                     static_cast<std::uint16_t>(ports_ + kWorkerPort)};
  options.agent = {AgentIp(number),
                   static_cast<std::uint16_t>(ports_ + kControlPort)};
  options.born =
      std::chrono::duration_cast<milliseconds>(WallNow().time_since_epoch())
          .count();
  return options;
}

bool deployment::StartAll(
    std::vector<std::unique_ptr<worker>>& workers,
    const std::function<void(int, worker_options&)>& change) {
  bool started = StartPlatform();
  for (int number = 1; number <= kEntries; ++number)
    started = started && StartEntry(number);
  workers.resize(kWorkers + 1);
  for (int number = 1; number <= kWorkers; ++number) {
    started = started && StartAgent(number);
    worker_options options = WorkerOptions(number);
    if (change)
      change(number, options);
    auto& place = workers[static_cast<std::size_t>(number)];
    place = worker::Start(options, *record_);
    started = started && place != nullptr;
  }
  for (int number = 1; number <= kEntries; ++number)
    started = started && WaitUntilReady(number, seconds(10));
  if (started)
    SleepFor(seconds(2));
  return started;
}

bool deployment::WaitUntilReady(int entry, milliseconds timeout) {
  const auto client = net::http_client::Create({});
  const monotonic_time deadline = monotonic_clock::now() + timeout;
  while (monotonic_clock::now() < deadline) {
    net::http_request probe;
    probe.method = "GET";
    probe.target = "/readiness";
    const net::http_reply reply = client->CallAndWait(
        {EntryIp(entry), static_cast<std::uint16_t>(ports_ + kReadyPort)},
        std::move(probe), milliseconds(200));
    if (reply.ok && reply.response.status == 200) {
      record_->Note("entry-" + std::to_string(entry) + " is ready");
      return true;
    }
    SleepFor(milliseconds(20));
  }
  return false;
}

attempt_result deployment::Submit(const submission& job) {
  const std::string spec = json::serialize(
      json::object{{"ms", job.run_ms}, {"cpu", job.cpu}, {"job", job.job}});
  json::array steps;
  for (int number = 0; number < job.steps; ++number) {
    json::object step{{"count", job.tasks},
                      {"cpu", job.cpu},
                      {"mem_mb", 64},
                      {"estimate_ms", job.run_ms}};
    if (number > 0)
      step["after"] = json::array{number - 1};
    steps.push_back(std::move(step));
  }
  const std::string body = json::serialize(json::object{
      {"spec", spec}, {"best_effort", true}, {"steps", std::move(steps)}});
  const std::string deadline = std::to_string(job.deadline.count());
  const std::string request =
      "POST " + (kPrefix + job.job) + " HTTP/1.1\r\nHost: " + kHost +
      "\r\nContent-Type: application/json\r\nX-Deadline-Ms: " + deadline +
      "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  record_->Note("client sends job " + job.job + " to entry-" +
                std::to_string(job.entry) + ", " + std::to_string(job.steps) +
                " step(s) of " + std::to_string(job.tasks) + " task(s) of " +
                std::to_string(job.run_ms) + " ms, deadline " + deadline +
                " ms");
  const attempt_result result = Exchange(
      EntryIp(job.entry), static_cast<std::uint16_t>(ports_ + kFrontPort),
      request, job.deadline);
  record_->Note("client gets " +
                (result.status == 0
                     ? std::string("no response")
                     : std::to_string(result.status) + " " + result.body) +
                " for job " + job.job);
  return result;
}

attempt_result deployment::Cancel(int entry, const std::string& job) {
  const std::string request =
      "DELETE " + (kPrefix + job) + " HTTP/1.1\r\nHost: " + kHost + "\r\n\r\n";
  record_->Note("client cancels job " + job + " at entry-" +
                std::to_string(entry));
  const attempt_result result =
      Exchange(EntryIp(entry), static_cast<std::uint16_t>(ports_ + kFrontPort),
               request, seconds(2));
  record_->Note("client gets " + std::to_string(result.status) + " " +
                result.body + " for the cancelling of job " + job);
  return result;
}

}  // namespace egretrack::review
