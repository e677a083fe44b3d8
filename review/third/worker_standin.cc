#include "worker_standin.h"

#include <algorithm>
#include <utility>

namespace review {
namespace {

namespace json = boost::json;

constexpr std::int64_t kLongestLeaseMs = 1000;
constexpr std::int64_t kLongestWaitMs = 2000;
constexpr milliseconds kStopTime{10};
constexpr milliseconds kHeartbeatInterval{1500};
constexpr milliseconds kHeartbeatTimeout{1000};

std::int64_t Number(const json::object& from, const char* name) {
  const auto* value = from.if_contains(name);
  return value != nullptr && value->is_number()
             ? value->to_number<std::int64_t>()
             : 0;
}

std::string Text(const json::object& from, const char* name) {
  const auto* value = from.if_contains(name);
  return value != nullptr && value->is_string()
             ? std::string(value->as_string())
             : "";
}

std::int64_t UnixMilliseconds() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

void start_list::Add(task_start start) {
  const std::lock_guard lock(mutex_);
  starts_.push_back(std::move(start));
}

std::vector<task_start> start_list::Of(const std::string& job,
                                       steady::time_point after) const {
  const std::lock_guard lock(mutex_);
  std::vector<task_start> found;
  for (const task_start& each : starts_) {
    if (each.task.starts_with(job + ".") && each.at > after)
      found.push_back(each);
  }
  return found;
}

void start_list::RecordEnd(const std::string& task,
                           std::int64_t run,
                           const std::string& worker) {
  const std::lock_guard lock(mutex_);
  for (task_start& each : starts_) {
    const bool ends = each.task == task && each.run == run &&
                      each.worker == worker &&
                      each.ended_at == steady::time_point::max();
    if (ends)
      each.ended_at = steady::now();
  }
}

std::vector<task_start> start_list::Doubled() const {
  const std::lock_guard lock(mutex_);
  std::vector<task_start> found;
  for (const task_start& each : starts_) {
    const bool doubled =
        std::ranges::any_of(starts_, [&each](const task_start& other) {
          return other.task == each.task && other.worker != each.worker &&
                 other.at < each.at && each.at < other.ended_at;
        });
    if (doubled)
      found.push_back(each);
  }
  return found;
}

std::vector<task_start> start_list::On(const std::string& worker) const {
  const std::lock_guard lock(mutex_);
  std::vector<task_start> found;
  for (const task_start& each : starts_) {
    if (each.worker == worker)
      found.push_back(each);
  }
  return found;
}

worker_standin::worker_standin(worker_options options,
                               record& log,
                               start_list& starts)
    : options_(std::move(options)),
      log_(log),
      starts_(starts),
      born_(UnixMilliseconds()) {
  log_.Write("worker " + options_.id + " of kind " + options_.label +
             " begins, born " + std::to_string(born_));
  server_ = std::make_unique<http_server>(
      options_.at, [this](const request& asked) { return Handle(asked); });
  working_ = std::thread([this] { Work(); });
  beating_ = std::thread([this] { Beat(); });
}

worker_standin::~worker_standin() {
  Crash();
}

void worker_standin::Crash() {
  if (stopped_.exchange(true))
    return;
  crashed_ = true;
  ended_changed_.notify_all();
  server_->Stop();
  working_.join();
  beating_.join();
  log_.Write("worker " + options_.id + " has ended");
}

std::int64_t worker_standin::Clock() const {
  return std::chrono::duration_cast<milliseconds>(steady::now() - start_)
      .count();
}

response worker_standin::Answer(int status, const std::string& reason) const {
  json::object body{{"clock_ms", Clock()}, {"born", born_}};
  if (!reason.empty())
    body["reason"] = reason;
  return {status, json::serialize(body)};
}

std::optional<response> worker_standin::Handle(const request& asked) {
  std::unique_lock lock(mutex_);
  if (crashed_)
    return std::nullopt;
  const auto expected = asked.headers.find("x-expected-instance");
  if (expected != asked.headers.end() && expected->second != options_.id)
    return Answer(421, "");
  if (asked.Path() == "/health")
    return response{200, "{}"};
  const json::object body = json::parse(asked.body).as_object();
  const std::int64_t fence = Number(body, "fence");
  if (fence < fence_)
    return Answer(409, "fence");
  fence_ = fence;
  Advance();
  std::optional<response> answer = response{404, "{}"};
  if (asked.Path() == "/run-start")
    answer = Start(body);
  else if (asked.Path() == "/run-stop")
    answer = Stop(body);
  else if (asked.Path() == "/hold")
    answer = Hold(body, lock);
  return crashed_ ? std::nullopt : answer;
}

void worker_standin::ExtendLease(const json::object& body) {
  const std::int64_t until =
      std::min(Number(body, "until_ms"), Clock() + kLongestLeaseMs);
  lease_until_ = std::max(lease_until_, until);
}

response worker_standin::Start(const json::object& body) {
  const std::string task = Text(body, "task");
  const std::int64_t number = Number(body, "run");
  if (Number(body, "until_ms") <= Clock())
    return Answer(409, "late");
  ExtendLease(body);
  const auto running = std::ranges::find(runs_, task, &run::task);
  if (running != runs_.end() && running->number == number)
    return Answer(200, "");
  const auto highest = highest_run_.find(task);
  if (running != runs_.end() ||
      (highest != highest_run_.end() && number <= highest->second)) {
    return Answer(409, "old");
  }
  runs_.push_back({task, number, steady::now(), {}, false});
  starts_.Add({task, number, options_.id, steady::now()});
  log_.Write("task " + task + " run " + std::to_string(number) + " begins on " +
             options_.id);
  if (crash_at_start_) {
    crashed_ = true;
    log_.Write("worker " + options_.id +
               " crashes before it has answered the start");
  }
  return Answer(200, "");
}

response worker_standin::Stop(const json::object& body) {
  const std::string task = Text(body, "task");
  const std::int64_t number = Number(body, "run");
  highest_run_[task] = std::max(highest_run_[task], number);
  for (run& each : runs_) {
    if (each.task == task && each.number == number && !each.stopping) {
      each.stopping = true;
      each.stop_at = steady::now() + kStopTime;
      log_.Write("task " + task + " run " + std::to_string(number) +
                 " is told to stop");
    }
  }
  return Answer(200, "");
}

response worker_standin::Hold(const json::object& body,
                              std::unique_lock<std::mutex>& lock) {
  if (Number(body, "until_ms") > 0)
    ExtendLease(body);
  const std::int64_t seen = Number(body, "seen_upto");
  std::erase_if(ended_, [seen](const json::array& row) {
    return row[0].to_number<std::int64_t>() <= seen;
  });
  const auto wait = std::min(Number(body, "wait_ms"), kLongestWaitMs);
  if (wait > 0) {
    ended_changed_.wait_for(lock, milliseconds(wait),
                            [this] { return !ended_.empty() || crashed_; });
  }
  Advance();
  json::array running;
  for (const run& each : runs_) {
    const auto worked = steady::now() - each.started;
    const auto percent =
        std::min<std::int64_t>(100 * worked / options_.work, 99);
    running.push_back(json::array{each.task, each.number, "", percent});
  }
  json::array ended(ended_.begin(), ended_.end());
  return {200, json::serialize(json::object{{"clock_ms", Clock()},
                                            {"born", born_},
                                            {"running", std::move(running)},
                                            {"ended", std::move(ended)}})};
}

// Ends the runs whose time has come.
void worker_standin::Advance() {
  const auto now = steady::now();
  for (std::size_t index = runs_.size(); index-- > 0;) {
    const run& each = runs_[index];
    if (each.stopping && now >= each.stop_at)
      End(index, "stopped");
    else if (Clock() >= lease_until_)
      End(index, "lapsed");
    else if (now >= each.started + options_.work)
      End(index, "done");
  }
}

void worker_standin::End(std::size_t index, const std::string& how) {
  const run ended = runs_[index];
  runs_.erase(runs_.begin() + static_cast<std::ptrdiff_t>(index));
  highest_run_[ended.task] = std::max(highest_run_[ended.task], ended.number);
  starts_.RecordEnd(ended.task, ended.number, options_.id);
  ended_.push_back(json::array{++last_end_, ended.task, ended.number, how, ""});
  log_.Write("task " + ended.task + " run " + std::to_string(ended.number) +
             " ends " + how + " on " + options_.id);
  ended_changed_.notify_all();
}

void worker_standin::Work() {
  while (!stopped_) {
    {
      const std::lock_guard lock(mutex_);
      if (!crashed_)
        Advance();
    }
    std::this_thread::sleep_for(milliseconds(2));
  }
}

void worker_standin::Beat() {
  std::int64_t sequence = 0;
  while (!stopped_) {
    json::object report{
        {"service", options_.service},
        {"addr", options_.at.ToString()},
        {"zone", options_.zone},
        {"version", "v1"},
        {"slots", 8},
        {"state", "ready"},
        {"cold_remaining_ms", 0},
        {"capacity",
         {{"cpu", options_.cpu}, {"mem_mb", options_.mem_mb}, {"gpu", 0}}},
        {"labels", json::array{options_.label}},
        {"clock_ms", Clock()},
        {"born", born_},
        {"seq", ++sequence}};
    const response answer = Call(options_.control, "POST",
                                 "/instances/" + options_.id + "/heartbeat", {},
                                 json::serialize(report), kHeartbeatTimeout);
    const auto next =
        steady::now() +
        (answer.status == 200 ? kHeartbeatInterval : milliseconds(200));
    while (!stopped_ && !crashed_ && steady::now() < next)
      std::this_thread::sleep_for(milliseconds(5));
    while (crashed_ && !stopped_)
      std::this_thread::sleep_for(milliseconds(1));
  }
}

}  // namespace review
