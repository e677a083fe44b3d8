// Open-loop load generator: submits the jobs of a workload to the entries at
// their arrival times, without waiting for answers, and writes the results as
// JSON.
#include <algorithm>
#include <cmath>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <map>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <CLI/CLI.hpp>

#include "egretrack/net/http.h"
#include "standins/ideal_schedule.h"
#include "standins/ledger.h"
#include "standins/workload.h"

namespace egretrack::standins {
namespace {

namespace json = boost::json;

constexpr std::size_t kIdsPerRequest = 1000;
constexpr milliseconds kReserveTimeout{5000};
// How long after its deadline a job may still be answered; the answer counts as
// late.
constexpr milliseconds kLateAnswerTimeout{20000};
constexpr unsigned kClientThreads = 2;
// Time between the start of the run and the start of the workload.
constexpr milliseconds kLeadTime{200};

struct generator_options {
  std::vector<std::string> entries;
  std::vector<std::string> ledgers;
  std::string workload = "steady";
  std::string output;
  std::vector<double> speeds;  // One per worker.
  unsigned slots = 8;          // Per worker.
  // Index in `speeds`, or -1. The ideal schedule does not use this worker.
  int failing_worker = -1;
  double load = 0.8;
  int duration = 10;
  std::uint64_t seed = 1;
};

// Outcome of one job.
struct job_result {
  std::string id;
  int status = 0;  // 0: no answer.
  bool not_run = false;
  // Measured from the arrival time, not from the time of sending, so that
  // delays of the generator are included.
  microseconds response_time{0};
};

struct percentiles {
  double p50 = 0;
  double p99 = 0;
  double p999 = 0;
};

double Percentile(const std::vector<double>& sorted, double fraction) {
  if (sorted.empty())
    return 0;
  const auto last = static_cast<double>(sorted.size() - 1);
  return sorted[static_cast<std::size_t>(std::lround(last * fraction))];
}

percentiles Summarize(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return {Percentile(values, 0.5), Percentile(values, 0.99),
          Percentile(values, 0.999)};
}

json::object ToJson(const percentiles& values) {
  return {{"p50", values.p50}, {"p99", values.p99}, {"p999", values.p999}};
}

// Submits the jobs and collects their answers. The thread that calls Run()
// waits for the arrival times; answers arrive on the threads of the HTTP
// client.
class load_run {
 public:
  load_run(std::span<const arrival> arrivals,
           std::vector<net::tcp_address> entries)
      : arrivals_(arrivals),
        entries_(std::move(entries)),
        results_(arrivals.size()),
        client_(net::http_client::Create(
            {.threads = kClientThreads, .connections_per_address = 512})) {}

  // Reserves for each job an id at the entry to which the job is submitted.
  result<void> ReserveIds() {
    for (std::size_t entry = 0; entry < entries_.size(); ++entry) {
      std::size_t job = entry;
      while (job < arrivals_.size()) {
        const auto ids = Reserve(entries_[entry]);
        if (!ids)
          return ids.error();
        for (const auto& id : *ids) {
          if (job >= arrivals_.size())
            break;
          results_[job].id = id;
          job += entries_.size();
        }
      }
    }
    return {};
  }

  void Run() {
    start_ = monotonic_clock::now() + kLeadTime;
    wall_start_ = WallNow() + kLeadTime;
    const auto cancellations = SortedCancellations();
    std::size_t cancelled = 0;
    for (std::size_t job = 0; job < arrivals_.size(); ++job) {
      while (cancelled < cancellations.size() &&
             CancelTime(cancellations[cancelled]) <= arrivals_[job].at)
        Cancel(cancellations[cancelled++]);
      WaitUntil(arrivals_[job].at);
      Submit(job);
    }
    while (cancelled < cancellations.size())
      Cancel(cancellations[cancelled++]);
    std::unique_lock lock(mutex_);
    all_answered_.wait(lock, [this] { return answered_ == arrivals_.size(); });
  }

  std::span<const job_result> results() const { return results_; }
  wall_time wall_start() const { return wall_start_; }

 private:
  result<std::vector<std::string>> Reserve(const net::tcp_address& entry) {
    net::http_request request;
    request.method = "POST";
    request.target = "/v1/jobs/reserve?count=" + std::to_string(kIdsPerRequest);
    const auto reply =
        client_->CallAndWait(entry, std::move(request), kReserveTimeout);
    if (!reply.ok || reply.response.status != 200)
      return MakeError(errc::kUnavailable, "entry " + entry.ToString());
    boost::system::error_code code;
    const json::value body = json::parse(reply.response.body, code);
    const json::value* ids =
        body.is_object() ? body.get_object().if_contains("ids") : nullptr;
    if (code || ids == nullptr || !ids->is_array())
      return MakeError(errc::kParseFailed, "ids of " + entry.ToString());
    std::vector<std::string> list;
    for (const auto& id : ids->get_array())
      list.emplace_back(id.as_string());
    return list;
  }

  microseconds CancelTime(std::size_t job) const {
    return arrivals_[job].cancel_at.value_or(microseconds::max());
  }

  std::vector<std::size_t> SortedCancellations() const {
    std::vector<std::size_t> jobs;
    for (std::size_t job = 0; job < arrivals_.size(); ++job) {
      if (arrivals_[job].cancel_at)
        jobs.push_back(job);
    }
    std::sort(jobs.begin(), jobs.end(), [this](auto left, auto right) {
      return CancelTime(left) < CancelTime(right);
    });
    return jobs;
  }

  void WaitUntil(microseconds time) const {
    const auto wait = start_ + time - monotonic_clock::now();
    if (wait.count() > 0)
      std::this_thread::sleep_for(wait);
  }

  static std::string Body(const arrival& job) {
    json::array tasks;
    for (const auto run_time : job.run_times) {
      json::object task;
      task["payload"] = "sleep=" + std::to_string(run_time.count());
      tasks.push_back(std::move(task));
    }
    json::object body;
    body["kind"] = job.kind;
    body["team"] = "palermo";
    body["deadline_ms"] = job.deadline.count();
    body["tasks"] = std::move(tasks);
    return json::serialize(body);
  }

  const net::tcp_address& EntryOf(std::size_t job) const {
    return entries_[job % entries_.size()];
  }

  void Submit(std::size_t job) {
    net::http_request request;
    request.method = "PUT";
    request.target = "/v1/jobs/" + results_[job].id;
    request.headers.push_back({"Content-Type", "application/json"});
    request.body = Body(arrivals_[job]);
    client_->Call(
        EntryOf(job), std::move(request),
        arrivals_[job].deadline + kLateAnswerTimeout,
        [this, job](const net::http_reply& reply) { Record(job, reply); });
  }

  void Cancel(std::size_t job) {
    WaitUntil(CancelTime(job));
    net::http_request request;
    request.method = "DELETE";
    request.target = "/v1/jobs/" + results_[job].id;
    client_->Call(EntryOf(job), std::move(request), kReserveTimeout,
                  [](const net::http_reply&) {});
  }

  void Record(std::size_t job, const net::http_reply& reply) {
    const auto response_time =
        monotonic_clock::now() - (start_ + arrivals_[job].at);
    const std::lock_guard lock(mutex_);
    job_result& outcome = results_[job];
    outcome.response_time = response_time;
    if (reply.ok) {
      outcome.status = static_cast<int>(reply.response.status);
      outcome.not_run =
          reply.response.body.find("\"not_run\":true") != std::string::npos;
    }
    ++answered_;
    all_answered_.notify_all();
  }

  std::span<const arrival> arrivals_;
  std::vector<net::tcp_address> entries_;
  std::vector<job_result> results_;
  monotonic_time start_{};
  wall_time wall_start_{};
  std::mutex mutex_;
  std::condition_variable all_answered_;
  std::size_t answered_ = 0;
  // The last member, so that its threads end before the other members are
  // destroyed.
  std::unique_ptr<net::http_client> client_;
};

// Start times of the tasks of each job, and the jobs of which a task started
// more than once.
struct task_starts {
  std::map<std::string, std::vector<wall_time>> times_by_job;
  std::vector<std::string> restarted_jobs;
  std::size_t tasks = 0;
};

result<task_starts> ReadTaskStarts(std::span<const std::string> ledgers) {
  task_starts record;
  std::map<std::string, std::vector<task_index>> tasks_by_job;
  for (const auto& path : ledgers) {
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    const auto lines = ParseLedger(text.str());
    if (!lines)
      return MakeError(lines.error().code, path);
    for (const auto& line : *lines) {
      if (line.event != ledger_event::kStart)
        continue;
      auto& tasks = tasks_by_job[line.job];
      if (std::find(tasks.begin(), tasks.end(), line.task) != tasks.end())
        record.restarted_jobs.push_back(line.job);
      tasks.push_back(line.task);
      record.times_by_job[line.job].push_back(line.time);
      ++record.tasks;
    }
  }
  std::sort(record.restarted_jobs.begin(), record.restarted_jobs.end());
  return record;
}

// Results of the jobs that the caller did not cancel; `tasks_started` and
// `short_waits_ms` include cancelled jobs.
struct load_totals {
  std::size_t jobs = 0;
  std::size_t on_time_and_once = 0;
  std::size_t ideal_on_time = 0;
  std::size_t refused = 0;
  std::size_t late = 0;
  std::size_t failed = 0;  // Failed, unknown or without an answer.
  std::size_t tasks_started = 0;
  std::vector<double> response_ratios;  // Response time by ideal response time.
  std::vector<double> short_waits_ms;   // From arrival to task start.
};

void CountJob(const arrival& job,
              const job_result& outcome,
              const std::optional<microseconds>& ideal_end,
              bool restarted,
              load_totals& totals) {
  if (job.cancel_at)
    return;
  ++totals.jobs;
  totals.ideal_on_time += ideal_end ? 1 : 0;
  const bool answered = outcome.status == 200;
  const bool on_time = outcome.response_time <= microseconds(job.deadline);
  if (outcome.not_run)
    ++totals.refused;
  else if (!answered)
    ++totals.failed;
  else if (!on_time)
    ++totals.late;
  else if (!restarted)
    ++totals.on_time_and_once;
  if (answered && ideal_end) {
    totals.response_ratios.push_back(
        static_cast<double>(outcome.response_time.count()) /
        static_cast<double>((*ideal_end - job.at).count()));
  }
}

load_totals CountOutcomes(std::span<const arrival> arrivals,
                          const load_run& run,
                          std::span<const std::optional<microseconds>> ideal,
                          const task_starts& starts) {
  load_totals totals;
  for (std::size_t i = 0; i < arrivals.size(); ++i) {
    const job_result& outcome = run.results()[i];
    const bool restarted = std::binary_search(
        starts.restarted_jobs.begin(), starts.restarted_jobs.end(), outcome.id);
    CountJob(arrivals[i], outcome, ideal[i], restarted, totals);
    const auto found = starts.times_by_job.find(outcome.id);
    if (found == starts.times_by_job.end())
      continue;
    totals.tasks_started += found->second.size();
    if (arrivals[i].kind != kShortKind)
      continue;
    for (const wall_time start : found->second) {
      const auto wait = start - (run.wall_start() + arrivals[i].at);
      totals.short_waits_ms.push_back(static_cast<double>(wait.count()) / 1000);
    }
  }
  return totals;
}

json::object MakeReport(const generator_options& options,
                        const load_totals& totals) {
  const double duration_seconds = options.duration;
  json::object report;
  report["jobs"] = totals.jobs;
  report["on_time_per_second"] =
      static_cast<double>(totals.on_time_and_once) / duration_seconds;
  report["ideal_per_second"] =
      static_cast<double>(totals.ideal_on_time) / duration_seconds;
  report["response_to_ideal"] = ToJson(Summarize(totals.response_ratios));
  report["short_wait_ms"] = ToJson(Summarize(totals.short_waits_ms));
  report["refused"] = totals.refused;
  report["late"] = totals.late;
  report["failed"] = totals.failed;
  report["tasks_started"] = totals.tasks_started;
  return report;
}

std::vector<double> SlotSpeeds(const generator_options& options) {
  std::vector<double> speeds;
  for (std::size_t worker = 0; worker < options.speeds.size(); ++worker) {
    if (static_cast<int>(worker) == options.failing_worker)
      continue;
    speeds.insert(speeds.end(), options.slots, options.speeds[worker]);
  }
  return speeds;
}

int Fail(const error& cause) {
  std::fprintf(stderr, "load_generator: %s\n", cause.ToString().c_str());
  return 1;
}

int Run(const generator_options& options) {
  const std::vector<double> speeds = SlotSpeeds(options);
  workload_options workload;
  workload.load = options.load;
  workload.duration = seconds(options.duration);
  workload.seed = options.seed;
  workload.capacity = 0;
  for (const double speed : speeds)
    workload.capacity += speed;
  const auto arrivals = MakeWorkload(options.workload, workload);
  if (!arrivals)
    return Fail(arrivals.error());

  std::vector<net::tcp_address> entries;
  for (const auto& text : options.entries) {
    const auto address = net::tcp_address::Parse(text);
    if (!address)
      return Fail(address.error());
    entries.push_back(*address);
  }
  load_run run(*arrivals, std::move(entries));
  const auto reserved = run.ReserveIds();
  if (!reserved)
    return Fail(reserved.error());
  run.Run();

  const auto starts = ReadTaskStarts(options.ledgers);
  if (!starts)
    return Fail(starts.error());
  const auto ideal = IdealEndTimes(*arrivals, speeds);
  const load_totals totals = CountOutcomes(*arrivals, run, ideal, *starts);
  std::ofstream file(options.output);
  file << json::serialize(MakeReport(options, totals)) << '\n';
  return file.flush() ? 0 : Fail(MakeError(errc::kSystem, options.output));
}

int Main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  generator_options options;
  CLI::App app("Submits a generated workload to entries");
  app.add_option("--entry", options.entries, "HTTP address, one per entry")
      ->required();
  app.add_option("--ledger", options.ledgers, "Ledger, one per worker");
  app.add_option("--workload", options.workload, "Name of the workload");
  app.add_option("--output", options.output, "File for the result")->required();
  app.add_option("--speeds", options.speeds, "Speed of each worker")
      ->required();
  app.add_option("--slots", options.slots, "Slots per worker");
  app.add_option("--failing-worker", options.failing_worker,
                 "Index of a worker that fails all tasks");
  app.add_option("--load", options.load,
                 "Offered load as a fraction of the capacity")
      ->check(CLI::PositiveNumber);
  app.add_option("--duration", options.duration, "Seconds")
      ->check(CLI::PositiveNumber);
  app.add_option("--seed", options.seed, "Seed of the workload");
  CLI11_PARSE(app, argc, argv);
  return Run(options);
}

}  // namespace
}  // namespace egretrack::standins

int main(int argc, char** argv) {
  return egretrack::standins::Main(argc, argv);
}
