#include "review/standins/worker.h"

#include <algorithm>
#include <utility>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "platform/json_fields.h"

namespace egretrack::review {
namespace {

namespace json = boost::json;
using platform::GetInteger;
using platform::GetString;
using platform::ParseObject;

constexpr milliseconds kTimerInterval{2};
constexpr milliseconds kMaxLease{1000};  // hold_max_ms
constexpr milliseconds kStopTime{30};    // At most stop_ms, 50 ms.
constexpr milliseconds kHeartbeatTimeout{1000};
constexpr milliseconds kMaxHoldWait{2000};
constexpr std::int64_t kCapacityMilli = 16000;
constexpr std::int64_t kCapacityMb = 32768;
constexpr std::size_t kMaxEndedRows = 500;

}  // namespace

std::unique_ptr<worker> worker::Start(worker_options options, record& record) {
  std::unique_ptr<worker> started(new worker(std::move(options), record));
  worker* self = started.get();
  auto server =
      net::http_server::Listen(self->options_.address, 1, {},
                               [self](const net::http_exchange_ptr& exchange) {
                                 self->Handle(exchange);
                               });
  if (!server)
    return nullptr;
  self->server_ = std::move(*server);
  record.Note("worker " + self->options_.name + " is up as " +
              self->options_.id + " born " +
              std::to_string(self->options_.born));
  self->timers_ = std::thread([self] { self->RunTimers(); });
  return started;
}

worker::worker(worker_options options, record& record)
    : options_(std::move(options)),
      record_(record),
      born_at_(monotonic_clock::now()),
      client_(net::http_client::Create({.connections_per_address = 1})) {}

worker::~worker() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    for (const auto& [task, run] : running_)
      record_.RecordEnd(run.record_index, "with its worker");
    running_.clear();
    for (waiting_hold& hold : holds_)
      hold.exchange->Abort();
    holds_.clear();
    changed_.notify_all();
  }
  if (timers_.joinable())
    timers_.join();
  server_.reset();
  client_.reset();
}

std::int64_t worker::ClockMs() const {
  return std::chrono::duration_cast<milliseconds>(monotonic_clock::now() -
                                                  born_at_)
             .count() +
         1;
}

void worker::Answer(const net::http_exchange_ptr& exchange,
                    unsigned status,
                    const std::string& reason) {
  json::object body{{"clock_ms", ClockMs()}};
  if (!reason.empty())
    body["reason"] = reason;
  exchange->Respond(
      {status, {{"Content-Type", "application/json"}}, json::serialize(body)});
}

void worker::Handle(const net::http_exchange_ptr& exchange) {
  const std::lock_guard lock(mutex_);
  const net::http_request& request = exchange->request();
  if (stopping_)
    return exchange->Abort();
  if (request.Header("X-Expected-Instance") != options_.id)
    return Answer(exchange, 421, "");
  const auto body = ParseObject(request.body, "call");
  if (!body)
    return Answer(exchange, 400, "");
  EndDueRuns();
  const std::int64_t fence = GetInteger(*body, "fence").value_or(0);
  if (fence < fence_)
    return Answer(exchange, 409, "fence");
  fence_ = fence;
  const std::string_view path = request.path();
  const std::string task = GetString(*body, "task").value_or("");
  const std::int64_t number = GetInteger(*body, "run").value_or(0);
  if (path == "/run-start")
    return HandleStart(exchange, request.body);
  if (path == "/run-stop") {
    highest_[task] = std::max(highest_[task], number);
    const auto found = running_.find(task);
    if (found != running_.end() && found->second.number <= number &&
        !found->second.stop_at) {
      found->second.stop_at = monotonic_clock::now() + kStopTime;
    }
    return Answer(exchange, 200, "");
  }
  if (path != "/hold")
    return Answer(exchange, 404, "");
  ExtendLease(GetInteger(*body, "until_ms").value_or(0));
  const std::int64_t seen = GetInteger(*body, "seen_upto").value_or(0);
  std::erase_if(ended_,
                [seen](const auto& end) { return end.sequence <= seen; });
  const milliseconds wait = std::min(
      kMaxHoldWait, milliseconds(GetInteger(*body, "wait_ms").value_or(0)));
  if (!ended_.empty() || wait.count() == 0)
    return AnswerHold(exchange);
  holds_.push_back({exchange, monotonic_clock::now() + wait});
}

void worker::HandleStart(const net::http_exchange_ptr& exchange,
                         const std::string& text) {
  const auto body = *ParseObject(text, "start");
  const std::string task = GetString(body, "task").value_or("");
  const std::int64_t number = GetInteger(body, "run").value_or(0);
  const std::int64_t until = GetInteger(body, "until_ms").value_or(0);
  if (until <= ClockMs())
    return Answer(exchange, 409, "late");
  ExtendLease(until);
  const auto running = running_.find(task);
  if (running != running_.end() && running->second.number == number)
    return Answer(exchange, 200, "");
  const auto highest = highest_.find(task);
  if (running != running_.end() ||
      (highest != highest_.end() && number <= highest->second)) {
    return Answer(exchange, 409, "old");
  }
  const auto spec = ParseObject(GetString(body, "spec").value_or(""), "spec");
  if (!spec)
    return Answer(exchange, 400, "");
  task_run run;
  run.number = number;
  run.run_time = milliseconds(GetInteger(*spec, "ms").value_or(100));
  run.cpu = GetInteger(*spec, "cpu").value_or(1600);
  std::int64_t used = run.cpu;
  for (const auto& [other, each] : running_)
    used += each.cpu;
  if (used > kCapacityMilli)
    return Answer(exchange, 409, "room");
  run.started = monotonic_clock::now();
  run.record_index = record_.RecordStart(task, options_.name, number);
  running_.emplace(task, run);
  Answer(exchange, 200, "");
}

void worker::ExtendLease(std::int64_t until) {
  lease_end_ms_ =
      std::max(lease_end_ms_, std::min(until, ClockMs() + kMaxLease.count()));
}

void worker::AnswerHold(const net::http_exchange_ptr& exchange) {
  json::array running;
  for (const auto& [task, run] : running_) {
    const microseconds age = monotonic_clock::now() - run.started;
    const std::int64_t percent =
        100 * age.count() / std::max<std::int64_t>(run.run_time.count(), 1);
    running.push_back(json::array{task, run.number, "",
                                  std::clamp<std::int64_t>(percent, 0, 99)});
  }
  json::array ended;
  for (const ended_run& end : ended_) {
    if (ended.size() < kMaxEndedRows)
      ended.push_back(
          json::array{end.sequence, end.task, end.number, end.how, ""});
  }
  exchange->Respond({200,
                     {{"Content-Type", "application/json"}},
                     json::serialize(json::object{{"clock_ms", ClockMs()},
                                                  {"born", options_.born},
                                                  {"running", running},
                                                  {"ended", ended}})});
}

void worker::EndDueRuns() {
  const monotonic_time now = monotonic_clock::now();
  for (auto it = running_.begin(); it != running_.end();) {
    const task_run& run = it->second;
    const char* how = nullptr;
    if (now >= run.started + run.run_time)
      how = "done";
    else if (run.stop_at && now >= *run.stop_at)
      how = "stopped";
    else if (ClockMs() >= lease_end_ms_)
      how = "lapsed";
    if (how == nullptr) {
      ++it;
      continue;
    }
    record_.RecordEnd(run.record_index, how);
    highest_[it->first] = std::max(highest_[it->first], run.number);
    ended_.push_back({++end_sequence_, it->first, run.number, how});
    it = running_.erase(it);
  }
}

net::http_request worker::Heartbeat() {
  json::array labels;
  for (const std::string& label : options_.labels)
    labels.emplace_back(label);
  net::http_request request;
  request.method = "POST";
  request.target = "/instances/" + options_.id + "/heartbeat";
  request.headers = {{"Content-Type", "application/json"}};
  request.body = json::serialize(json::object{
      {"service", options_.service},
      {"addr", options_.address.ToString()},
      {"zone", options_.zone},
      {"version", "v1"},
      {"slots", 8},
      {"state", "ready"},
      {"cold_remaining_ms", 0},
      {"capacity",
       {{"cpu", kCapacityMilli}, {"mem_mb", kCapacityMb}, {"gpu", 0}}},
      {"labels", std::move(labels)},
      {"clock_ms", ClockMs()},
      {"born", options_.born},
      {"seq", ++heartbeat_sequence_}});
  return request;
}

void worker::RunTimers() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    EndDueRuns();
    const monotonic_time now = monotonic_clock::now();
    std::erase_if(holds_, [&](const waiting_hold& hold) {
      if (ended_.empty() && now < hold.deadline)
        return false;
      AnswerHold(hold.exchange);
      return true;
    });
    if (now >= next_heartbeat_) {
      next_heartbeat_ = now + options_.heartbeat_interval;
      net::http_request request = Heartbeat();
      lock.unlock();
      // Sent again soon if nobody acknowledges it.
      client_->Call(options_.agent, std::move(request), kHeartbeatTimeout,
                    [this](const net::http_reply& reply) {
                      if (reply.ok && reply.response.status / 100 == 2)
                        return;
                      const std::lock_guard relock(mutex_);
                      next_heartbeat_ =
                          monotonic_clock::now() + milliseconds(100);
                    });
      lock.lock();
    }
    changed_.wait_for(lock, kTimerInterval);
  }
}

}  // namespace egretrack::review
