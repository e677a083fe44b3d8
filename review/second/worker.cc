#include "worker.h"

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <cstdlib>
#include <map>
#include <mutex>
#include <optional>
#include <stdexcept>
#include <thread>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "platform/json_fields.h"

namespace review {
namespace {

namespace json = boost::json;
namespace net = egretrack::net;
namespace platform = egretrack::platform;

constexpr std::int64_t kHoldMaxMs = 1000;
constexpr std::int64_t kStopMs = 30;  // Pages: at most 50.
constexpr std::int64_t kHeartbeatMs = 1500;
constexpr std::size_t kEndsPerAnswer = 500;

struct active_run {
  std::int64_t number = 0;
  std::int64_t started = 0;  // All times by the recorder's clock.
  std::int64_t length = 0;
  std::int64_t cpu = 0;
  std::optional<std::int64_t> stop_at;
  std::size_t event = 0;  // Index in events_.
};

struct ended_run {
  std::int64_t sequence = 0;
  std::string task;
  std::int64_t run = 0;
  std::string how;
};

struct waiting_look {
  net::http_exchange_ptr exchange;
  std::int64_t until = 0;
};

std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

class worker_impl final : public worker {
 public:
  worker_impl(worker_options options, recorder& log)
      : options_(std::move(options)),
        log_(log),
        born_(UnixMs()),
        clock_start_(log.NowMs()),
        client_(net::http_client::Create({.connections_per_address = 1})) {
    auto server = net::http_server::Listen(
        options_.listen, 1, {},
        [this](const net::http_exchange_ptr& exchange) { Handle(exchange); });
    if (!server)
      throw std::runtime_error("worker: " + server.error().ToString());
    server_ = std::move(*server);
    log_.Line("worker %s starts at %s, kind %s", options_.id.c_str(),
              address().ToString().c_str(), options_.kind.c_str());
    thread_ = std::thread([this] { Run(); });
  }
  worker_impl(const worker_impl&) = delete;
  worker_impl& operator=(const worker_impl&) = delete;

  ~worker_impl() override {
    {
      const std::lock_guard lock(mutex_);
      stopping_ = true;
      looks_.clear();
      changed_.notify_all();
    }
    thread_.join();
    server_.reset();
    client_.reset();
  }

  net::tcp_address address() const override { return server_->local_address(); }

  std::vector<run_event> runs() const override {
    const std::lock_guard lock(mutex_);
    return events_;
  }

 private:
  std::int64_t ClockMs() const { return log_.NowMs() - clock_start_ + 1; }

  void Handle(const net::http_exchange_ptr& exchange) {
    const std::lock_guard lock(mutex_);
    if (stopping_)
      return exchange->Abort();
    const net::http_request& request = exchange->request();
    if (request.method == "GET" && request.path() == "/health")
      return exchange->Respond({200, {}, ""});
    const auto expected = request.Header("X-Expected-Instance");
    if (!expected.empty() && expected != options_.id)
      return exchange->Respond({421, {}, ""});
    EndDueRuns();
    const auto body = platform::ParseObject(request.body, "call");
    if (!body)
      return Answer(exchange, 400, {});
    const auto fence = platform::GetInteger(*body, "fence").value_or(0);
    if (fence < fence_)
      return Refuse(exchange, "fence");
    fence_ = fence;
    if (request.path() == "/run-start")
      return Start(exchange, *body);
    if (request.path() == "/run-stop")
      return Stop(exchange, *body);
    if (request.path() == "/hold")
      return Hold(exchange, *body);
    Answer(exchange, 400, {});
  }

  void Answer(const net::http_exchange_ptr& exchange,
              unsigned status,
              json::object body) {
    body["clock_ms"] = ClockMs();
    body["born"] = born_;
    exchange->Respond(
        {status, {{"Content-Type", "application/json"}}, json::serialize(body)});
  }

  void Refuse(const net::http_exchange_ptr& exchange, const char* reason) {
    Answer(exchange, 409, {{"reason", reason}});
  }

  void Extend(const json::object& body) {
    const auto until = platform::GetInteger(body, "until_ms").value_or(0);
    lease_end_ = std::max(lease_end_, std::min(until, ClockMs() + kHoldMaxMs));
  }

  bool IsRecorded(const std::string& task) const {
    return options_.quiet_prefix.empty() || !task.starts_with(options_.quiet_prefix);
  }

  std::int64_t UsedCpu() const {
    std::int64_t used = 0;
    for (const auto& [task, run] : running_)
      used += run.cpu;
    return used;
  }

  void Start(const net::http_exchange_ptr& exchange, const json::object& body) {
    const std::string task = platform::GetString(body, "task").value_or("");
    const auto number = platform::GetInteger(body, "run").value_or(0);
    const std::string spec = platform::GetString(body, "spec").value_or("");
    if (platform::GetInteger(body, "until_ms").value_or(0) <= ClockMs())
      return Refuse(exchange, "late");
    Extend(body);
    const auto active = running_.find(task);
    if (active != running_.end() && active->second.number == number)
      return Answer(exchange, 200, {});
    const auto highest = highest_.find(task);
    if (active != running_.end() ||
        (highest != highest_.end() && number <= highest->second))
      return Refuse(exchange, "old");
    active_run run;
    run.number = number;
    run.started = log_.NowMs();
    run.length = std::strtoll(spec.c_str(), nullptr, 10);
    const auto cpu = spec.find("cpu=");
    if (cpu != std::string::npos)
      run.cpu = std::strtoll(spec.c_str() + cpu + 4, nullptr, 10);
    if (UsedCpu() + run.cpu > options_.cpu_milli)
      return Refuse(exchange, "room");
    run.event = events_.size();
    events_.push_back({task, number, options_.id, run.started, -1, ""});
    if (IsRecorded(task)) {
      log_.Line("worker %s: task %s run %lld starts", options_.id.c_str(),
                task.c_str(), static_cast<long long>(number));
    }
    running_.emplace(task, run);
    Answer(exchange, 200, {});
  }

  void Stop(const net::http_exchange_ptr& exchange, const json::object& body) {
    const std::string task = platform::GetString(body, "task").value_or("");
    const auto number = platform::GetInteger(body, "run").value_or(0);
    std::int64_t& highest = highest_[task];
    highest = std::max(highest, number);
    const auto active = running_.find(task);
    if (active != running_.end() && active->second.number <= number &&
        !active->second.stop_at)
      active->second.stop_at = log_.NowMs() + kStopMs;
    Answer(exchange, 200, {});
  }

  void Hold(const net::http_exchange_ptr& exchange, const json::object& body) {
    Extend(body);
    const auto seen = platform::GetInteger(body, "seen_upto").value_or(0);
    std::erase_if(ended_, [seen](const auto& end) { return end.sequence <= seen; });
    const auto wait = platform::GetInteger(body, "wait_ms").value_or(0);
    waiting_look look{exchange, log_.NowMs() + wait};
    if (!Serve(look))
      looks_.push_back(std::move(look));
  }

  bool Serve(const waiting_look& look) {
    if (ended_.empty() && log_.NowMs() < look.until)
      return false;
    json::array running;
    for (const auto& [task, run] : running_) {
      const auto percent = std::min<std::int64_t>(
          100 * (log_.NowMs() - run.started) / std::max<std::int64_t>(run.length, 1), 99);
      running.push_back(json::array{task, run.number, "", percent, run.cpu});
    }
    json::array ended;
    for (const ended_run& end : ended_) {
      if (ended.size() == kEndsPerAnswer)
        break;
      ended.push_back(json::array{end.sequence, end.task, end.run, end.how, ""});
    }
    Answer(look.exchange, 200,
           {{"running", std::move(running)}, {"ended", std::move(ended)}});
    return true;
  }

  void EndDueRuns() {
    for (auto it = running_.begin(); it != running_.end();) {
      const active_run& run = it->second;
      const char* how = nullptr;
      if (ClockMs() >= lease_end_)
        how = "lapsed";
      else if (run.stop_at && log_.NowMs() >= *run.stop_at)
        how = "stopped";
      else if (log_.NowMs() >= run.started + run.length)
        how = "done";
      if (how == nullptr) {
        ++it;
        continue;
      }
      std::int64_t& highest = highest_[it->first];
      highest = std::max(highest, run.number);
      ended_.push_back({++last_end_, it->first, run.number, how});
      events_[run.event].ended = log_.NowMs();
      events_[run.event].how = how;
      if (IsRecorded(it->first)) {
        log_.Line("worker %s: task %s run %lld ends %s", options_.id.c_str(),
                  it->first.c_str(), static_cast<long long>(run.number), how);
      }
      it = running_.erase(it);
    }
  }

  void Run() {
    std::unique_lock lock(mutex_);
    std::int64_t next_report = 0;
    while (!stopping_) {
      EndDueRuns();
      std::erase_if(looks_, [this](const auto& look) { return Serve(look); });
      if (log_.NowMs() >= next_report) {
        next_report = log_.NowMs() + kHeartbeatMs;
        auto request = Report();
        lock.unlock();
        client_->Call(options_.agent, std::move(request),
                      egretrack::milliseconds(1000),
                      [](const net::http_reply&) {});
        lock.lock();
      }
      changed_.wait_for(lock, std::chrono::milliseconds(5));
    }
  }

  net::http_request Report() {
    net::http_request request;
    request.method = "POST";
    request.target = "/instances/" + options_.id + "/heartbeat";
    request.headers = {{"Content-Type", "application/json"}};
    request.body = json::serialize(json::object{
        {"service", options_.service},
        {"addr", address().ToString()},
        {"zone", "palermo"},
        {"version", "v1"},
        {"slots", 8},
        {"state", "ready"},
        {"cold_remaining_ms", 0},
        {"capacity",
         {{"cpu", options_.cpu_milli}, {"mem_mb", options_.memory_mb}, {"gpu", 0}}},
        {"labels", {options_.kind, options_.rack}},
        {"clock_ms", ClockMs()},
        {"seq", ++sequence_},
        {"born", born_}});
    return request;
  }

  const worker_options options_;
  recorder& log_;
  const std::int64_t born_;
  const std::int64_t clock_start_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::int64_t fence_ = 0;
  std::int64_t lease_end_ = 0;  // By the worker's clock.
  std::map<std::string, active_run> running_;
  std::map<std::string, std::int64_t> highest_;
  std::vector<ended_run> ended_;
  std::int64_t last_end_ = 0;
  std::int64_t sequence_ = 0;
  std::vector<waiting_look> looks_;
  std::vector<run_event> events_;
  bool stopping_ = false;
  std::unique_ptr<net::http_client> client_;
  std::unique_ptr<net::http_server> server_;
  std::thread thread_;
};

}  // namespace

std::unique_ptr<worker> worker::Start(worker_options options, recorder& log) {
  return std::make_unique<worker_impl>(std::move(options), log);
}

}  // namespace review
