#include "lab.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <random>
#include <stdexcept>
#include <thread>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "http_caller.h"

namespace review {
namespace {

namespace json = boost::json;
namespace net = egretrack::net;
namespace standins = egretrack::standins;

constexpr const char* kHost = "nony24.example";
constexpr const char* kService = "banco-turni";

bool IsFree(std::uint16_t port) {
  const int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl(INADDR_ANY);
  at.sin_port = htons(port);
  const bool is_free =
      bind(probe, reinterpret_cast<sockaddr*>(&at), sizeof(at)) == 0;
  close(probe);
  return is_free;
}

ports FindPorts() {
  std::random_device seed;
  std::mt19937 random(seed());
  for (int attempt = 0; attempt < 200; ++attempt) {
    const auto base = static_cast<std::uint16_t>(
        std::uniform_int_distribution<int>(10000, 30000)(random));
    bool is_free = true;
    for (std::uint16_t offset = 0; offset < 5; ++offset)
      is_free = is_free && IsFree(static_cast<std::uint16_t>(base + offset));
    if (!is_free)
      continue;
    const auto at = [base](int offset) {
      return static_cast<std::uint16_t>(base + offset);
    };
    return {at(0), at(1), at(2), at(3), at(4)};
  }
  throw std::runtime_error("no free ports");
}

std::string SeedList(const std::vector<std::string>& hosts, std::uint16_t port) {
  std::string text = "[";
  for (const std::string& host : hosts)
    text += (text.size() > 1 ? "," : "") + ("\"" + host + ":" +
                                            std::to_string(port) + "\"");
  return text + "]";
}

}  // namespace

int RunCase(int argc,
            char** argv,
            const std::function<int(const case_options&, recorder&)>& body) {
  if (argc < 3) {
    std::fprintf(stderr, "usage: %s DAEMON RECORD [--calm]\n", argv[0]);
    return kCouldNotRun;
  }
  case_options options{argv[1], argv[2], true};
  for (int index = 3; index < argc; ++index)
    options.trouble = options.trouble && std::strcmp(argv[index], "--calm") != 0;
  recorder log(options.record);
  try {
    log.Line("case begins, %s", options.trouble ? "with trouble" : "calm");
    const int code = body(options, log);
    log.Line("case ends: %s", code == kHeld     ? "the rule held"
                              : code == kBroken ? "the rule was broken"
                                                : "could not run");
    return code;
  } catch (const std::exception& failure) {
    log.Line("could not run: %s", failure.what());
    return kCouldNotRun;
  }
}

lab::lab(case_options options, recorder& log)
    : options_(std::move(options)),
      log_(log),
      ports_(FindPorts()) {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (mkdtemp(pattern.data()) == nullptr)
    throw std::runtime_error("no temporary folder");
  folder_ = pattern;
  auto store = standins::row_store::Start();
  if (!store)
    throw std::runtime_error("store: " + store.error().ToString());
  store_ = std::move(*store);
  store_address_ = store_->address();
}

lab::~lab() {
  processes_.clear();  // Kills and reaps them.
  store_.reset();
  std::error_code ignored;
  if (std::getenv("REVIEW_KEEP") != nullptr)
    log_.Line("logs are kept");
  else
    std::filesystem::remove_all(folder_, ignored);
}

void lab::Sleep(int ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

void lab::AddFront(const std::string& name,
                   const std::string& host,
                   const std::vector<std::string>& seeds,
                   const std::string& extra) {
  const auto at = [&host](std::uint16_t port) {
    return "\"" + host + ":" + std::to_string(port) + "\"\n";
  };
  const std::string path = folder_ + "/" + name + ".toml";
  std::ofstream(path) << "role = \"job_entry\"\n[job_entry]\nid = \"" << name
                      << "\"\nfailure_domain = \"palermo\"\njobs = "
                      << at(ports_.front) << "readiness = " << at(ports_.ready)
                      << "agents = " << at(ports_.entries)
                      << "internal = " << at(ports_.internal) << "store = \""
                      << store_address_.ToString()
                      << "\"\nresubmit_after_ms = 1300\nstop_grace_s = 6\n"
                         "far_run_time_factor = 1.5\nmemory_mb = 260\n"
                         "max_fds = 4100\nseeds = "
                      << SeedList(seeds, ports_.control) << "\n"
                      << extra;
  settings_[name] = path;
  Start(name);
}

void lab::AddSide(const std::string& name,
                  const std::string& host,
                  const std::vector<std::string>& seeds) {
  const std::string path = folder_ + "/" + name + ".toml";
  std::ofstream(path) << "role = \"job_agent\"\n[job_agent]\nid = \"" << name
                      << "\"\nfailure_domain = \"palermo\"\nreports = \"" << host
                      << ":" << ports_.control << "\"\ninternal = \"" << host
                      << ":" << ports_.internal
                      << "\"\nentry_port = " << ports_.entries << "\nstore = \""
                      << store_address_.ToString()
                      << "\"\nlongest_lease_ms = 1000\nresubmit_after_ms = 1300\n"
                         "stop_grace_s = 6\nmemory_mb = 128\nmax_fds = 4096\n"
                         "seeds = "
                      << SeedList(seeds, ports_.control) << "\n";
  settings_[name] = path;
  Start(name);
}

void lab::Start(const std::string& name) {
  processes_.erase(name);
  const std::string arguments[] = {settings_.at(name)};
  const std::string output = folder_ + "/" + name + ".log";
  auto started =
      standins::child_process::Start(options_.daemon, arguments, output, output);
  if (!started)
    throw std::runtime_error(name + ": " + started.error().ToString());
  processes_[name].emplace(std::move(*started));
  log_.Line("%s starts", name.c_str());
}

void lab::Signal(const std::string& name, int signal) {
  log_.Line("%s gets signal %d", name.c_str(), signal);
  processes_.at(name)->Signal(signal);
}

bool lab::IsRunning(const std::string& name) {
  return processes_.at(name)->IsRunning();
}

long lab::PeakMemoryKb(const std::string& name) {
  std::ifstream status("/proc/" + std::to_string(processes_.at(name)->pid()) +
                       "/status");
  std::string line;
  while (std::getline(status, line)) {
    if (line.starts_with("VmHWM:"))
      return std::strtol(line.c_str() + 6, nullptr, 10);
  }
  return 0;
}

void lab::Publish(int version,
                  const std::vector<std::string>& routes,
                  int timeout_ms) {
  json::array list;
  std::string names;
  for (const std::string& route : routes) {
    names += " " + route;
    list.push_back(json::object{{"name", "r-" + route},
                                {"host", kHost},
                                {"path_prefix", "/" + route + "/"},
                                {"kind", "unsafe"},
                                {"timeout_ms", timeout_ms},
                                {"target_duration_ms", 60},
                                {"priority", 1},
                                {"service", kService},
                                {"max_attempts", 4},
                                {"stretch", 1.6}});
  }
  const json::object service{{"name", kService},       {"health_path", "/health"},
                             {"max_conns", 64},        {"protocol", "h1"},
                             {"tls", false},           {"rejects_overload", true},
                             {"spare", false}};
  store_->Put("op", "config",
              json::serialize(json::object{
                  {"version", version},
                  {"routes", std::move(list)},
                  {"services", json::array{service}},
                  {"limits",
                   {{"max_header_bytes", 16384},
                    {"max_body_bytes", 262144},
                    {"header_timeout_ms", 3000},
                    {"idle_timeout_ms", 15000}}}}));
  log_.Line("operator: op/config version %d is acknowledged, routes%s", version,
            names.c_str());
}

answer lab::CallAt(const net::tcp_address& at,
                   const net::http_request& request,
                   int timeout_ms) {
  answer got;
  got.sent = log_.NowMs();
  got.status = CallOnce(at, request, timeout_ms, got.body);
  got.received = log_.NowMs();
  return got;
}

answer lab::Call(const std::string& host,
                 const std::string& method,
                 const std::string& path,
                 const std::string& body,
                 int deadline_ms,
                 int timeout_ms) {
  net::http_request request;
  request.method = method;
  request.target = path;
  request.body = body;
  request.headers = {{"Host", kHost}};
  if (!body.empty())
    request.headers.push_back({"Content-Type", "application/json"});
  if (deadline_ms > 0)
    request.headers.push_back({"X-Deadline-Ms", std::to_string(deadline_ms)});
  return CallAt({host, ports_.front}, request, timeout_ms);
}

void lab::WaitReady(const std::string& host, int timeout_ms) {
  const std::int64_t end = log_.NowMs() + timeout_ms;
  while (log_.NowMs() < end) {
    net::http_request request;
    request.method = "GET";
    request.target = "/readiness";
    if (CallAt({host, ports_.ready}, request, 1000).status == 200) {
      log_.Line("front at %s is ready", host.c_str());
      return;
    }
    Sleep(50);
  }
  throw std::runtime_error("front at " + host + " does not get ready");
}

void lab::WaitAgents(const std::string& host, int agents, int timeout_ms) {
  const std::int64_t end = log_.NowMs() + timeout_ms;
  const std::string metric = "egretrack_agents_usable ";
  while (log_.NowMs() < end) {
    net::http_request request;
    request.method = "GET";
    request.target = "/metrics";
    const answer got = CallAt({host, ports_.internal}, request, 1000);
    const auto at = got.body.find("\n" + metric);
    if (at != std::string::npos &&
        std::strtol(got.body.c_str() + at + 1 + metric.size(), nullptr, 10) >=
            agents)
      return;
    Sleep(50);
  }
  throw std::runtime_error("front at " + host + " has too few agents");
}

}  // namespace review
