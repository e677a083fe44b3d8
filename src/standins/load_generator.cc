// Offers a recorded load to the entries, without waiting for answers, and
// writes what came of it as JSON.
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
// After its deadline, a job's answer is late but must still come.
constexpr milliseconds kAnswerGrace{20000};
constexpr unsigned kClientThreads = 2;
// Between the preparation and the first arrival.
constexpr milliseconds kLeadTime{200};

struct generator_options {
  std::vector<std::string> entries;
  std::vector<std::string> ledgers;
  std::string workload = "steady";
  std::string output;
  std::vector<double> speeds;  // One per worker.
  unsigned slots = 8;          // Per worker.
  int failing_worker = -1;     // Position in `speeds`; unusable for the ideal.
  double load = 0.8;
  int duration = 10;
  std::uint64_t seed = 1;
};

// What came of one job.
struct job_result {
  std::string id;
  int status = 0;  // 0: no answer.
  bool not_run = false;
  microseconds response{0};  // From the arrival, not from the sending.
};

struct percentiles {
  double p50 = 0;
  double p99 = 0;
  double p999 = 0;
};

double Percentile(const std::vector<double>& sorted, double share) {
  if (sorted.empty())
    return 0;
  const auto last = static_cast<double>(sorted.size() - 1);
  return sorted[static_cast<std::size_t>(std::lround(last * share))];
}

percentiles Summarize(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return {Percentile(values, 0.5), Percentile(values, 0.99),
          Percentile(values, 0.999)};
}

json::object ToJson(const percentiles& values) {
  return {{"p50", values.p50}, {"p99", values.p99}, {"p999", values.p999}};
}

// Sends the jobs and collects their answers. The sender's thread waits for
// arrival times; answers come on the client's threads.
class load_run {
 public:
  load_run(std::span<const arrival> arrivals,
           std::vector<net::tcp_address> entries)
      : arrivals_(arrivals),
        entries_(std::move(entries)),
        results_(arrivals.size()),
        client_(net::http_client::Create(
            {.threads = kClientThreads, .connections_per_address = 512})) {}

  // Gives every job an id of the entry that it goes to.
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
        arrivals_[job].deadline + kAnswerGrace,
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
    const auto response = monotonic_clock::now() - (start_ + arrivals_[job].at);
    const std::lock_guard lock(mutex_);
    job_result& done = results_[job];
    done.response = response;
    if (reply.ok) {
      done.status = static_cast<int>(reply.response.status);
      done.not_run =
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
  // Last, so that its threads end before what they use.
  std::unique_ptr<net::http_client> client_;
};

// First start of each task, and jobs of which a task started twice.
struct start_record {
  std::map<std::string, std::vector<wall_time>> starts;
  std::vector<std::string> repeated;
  std::size_t tasks = 0;
};

result<start_record> ReadStarts(std::span<const std::string> ledgers) {
  start_record record;
  std::map<std::string, std::vector<task_index>> seen;
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
      auto& tasks = seen[line.job];
      if (std::find(tasks.begin(), tasks.end(), line.task) != tasks.end())
        record.repeated.push_back(line.job);
      tasks.push_back(line.task);
      record.starts[line.job].push_back(line.time);
      ++record.tasks;
    }
  }
  std::sort(record.repeated.begin(), record.repeated.end());
  return record;
}

// Counts over all jobs that the caller did not cancel.
struct tally {
  std::size_t jobs = 0;
  std::size_t on_time_and_once = 0;
  std::size_t ideal_on_time = 0;
  std::size_t refused = 0;
  std::size_t late = 0;
  std::size_t failed = 0;  // Failed, unknown or without an answer.
  std::size_t tasks_started = 0;
  std::vector<double> ratios;          // Response to ideal response.
  std::vector<double> short_waits_ms;  // From arrival to start.
};

void AddJob(const arrival& job,
            const job_result& done,
            const std::optional<microseconds>& ideal_end,
            bool repeated,
            tally& total) {
  if (job.cancel_at)
    return;
  ++total.jobs;
  total.ideal_on_time += ideal_end ? 1 : 0;
  const bool answered = done.status == 200;
  const bool on_time = done.response <= microseconds(job.deadline);
  if (done.not_run)
    ++total.refused;
  else if (!answered)
    ++total.failed;
  else if (!on_time)
    ++total.late;
  else if (!repeated)
    ++total.on_time_and_once;
  if (answered && ideal_end) {
    total.ratios.push_back(static_cast<double>(done.response.count()) /
                           static_cast<double>((*ideal_end - job.at).count()));
  }
}

tally Count(std::span<const arrival> arrivals,
            const load_run& run,
            std::span<const std::optional<microseconds>> ideal,
            const start_record& starts) {
  tally total;
  for (std::size_t i = 0; i < arrivals.size(); ++i) {
    const job_result& done = run.results()[i];
    const bool repeated = std::binary_search(starts.repeated.begin(),
                                             starts.repeated.end(), done.id);
    AddJob(arrivals[i], done, ideal[i], repeated, total);
    const auto found = starts.starts.find(done.id);
    if (found == starts.starts.end())
      continue;
    total.tasks_started += found->second.size();
    if (arrivals[i].kind != kShortKind)
      continue;
    for (const wall_time start : found->second) {
      const auto wait = start - (run.wall_start() + arrivals[i].at);
      total.short_waits_ms.push_back(static_cast<double>(wait.count()) / 1000);
    }
  }
  return total;
}

json::object Report(const generator_options& options, const tally& total) {
  const double length = options.duration;
  json::object report;
  report["jobs"] = total.jobs;
  report["on_time_per_second"] =
      static_cast<double>(total.on_time_and_once) / length;
  report["ideal_per_second"] =
      static_cast<double>(total.ideal_on_time) / length;
  report["response_to_ideal"] = ToJson(Summarize(total.ratios));
  report["short_wait_ms"] = ToJson(Summarize(total.short_waits_ms));
  report["refused"] = total.refused;
  report["late"] = total.late;
  report["failed"] = total.failed;
  report["tasks_started"] = total.tasks_started;
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
  workload_options wanted;
  wanted.load = options.load;
  wanted.duration = seconds(options.duration);
  wanted.seed = options.seed;
  wanted.capacity = 0;
  for (const double speed : speeds)
    wanted.capacity += speed;
  const auto arrivals = MakeWorkload(options.workload, wanted);
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

  const auto starts = ReadStarts(options.ledgers);
  if (!starts)
    return Fail(starts.error());
  const auto ideal = IdealEndTimes(*arrivals, speeds);
  const tally total = Count(*arrivals, run, ideal, *starts);
  std::ofstream file(options.output);
  file << json::serialize(Report(options, total)) << '\n';
  return file.flush() ? 0 : Fail(MakeError(errc::kSystem, options.output));
}

int Main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  generator_options options;
  CLI::App app("Offers a recorded load to entries");
  app.add_option("--entry", options.entries, "HTTP address, one per entry")
      ->required();
  app.add_option("--ledger", options.ledgers, "Ledger, one per worker");
  app.add_option("--workload", options.workload, "Name of the workload");
  app.add_option("--output", options.output, "File for the result")->required();
  app.add_option("--speeds", options.speeds, "Speed of each worker")
      ->required();
  app.add_option("--slots", options.slots, "Slots per worker");
  app.add_option("--failing-worker", options.failing_worker,
                 "Position of a worker that fails everything");
  app.add_option("--load", options.load, "Share of the capacity")
      ->check(CLI::PositiveNumber);
  app.add_option("--duration", options.duration, "Seconds")
      ->check(CLI::PositiveNumber);
  app.add_option("--seed", options.seed, "Seed of the load");
  CLI11_PARSE(app, argc, argv);
  return Run(options);
}

}  // namespace
}  // namespace egretrack::standins

int main(int argc, char** argv) {
  return egretrack::standins::Main(argc, argv);
}
