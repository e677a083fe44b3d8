// Fault: a burst of wide jobs makes an entry hang: it answers nobody, and its
// memory passes the limit of its machine.
#include <algorithm>
#include <atomic>
#include <mutex>
#include <thread>
#include <vector>

#include "lab.h"

namespace review {
namespace {

constexpr int kAgents = 11;            // As in the site file.
constexpr int kBurstPerSecond = 56;    // 124 a second, a quarter of it, x 1.8.
constexpr int kBurstSeconds = 4;       // `for_s` of a burst in the site file.
constexpr int kTasksPerJob = 1200;     // Most tasks of a job.
constexpr int kTaskMs = 50;
constexpr int kTaskCpu = 20;           // Thousandths of a core.
constexpr std::size_t kSpecBytes = 2400;  // Largest request of the site.
constexpr int kDeadlineMs = 1500;      // Of the clients of the site.
constexpr int kRecoverMs = 12000;      // Bound of the page.
constexpr int kFrontMemoryMb = 260;    // Limits of the machines.
constexpr int kSideMemoryMb = 128;
constexpr const char* kFront = "127.0.44.1";

std::string Job(int tasks, int cpu, std::size_t spec_bytes) {
  std::string spec = std::to_string(kTaskMs) + " cpu=" + std::to_string(cpu) + " ";
  spec.resize(std::max(spec.size(), spec_bytes), 'x');
  return R"({"best_effort":true,"spec":")" + spec + R"(","steps":[{"count":)" +
         std::to_string(tasks) + R"(,"cpu":)" + std::to_string(cpu) +
         R"(,"mem_mb":4,"estimate_ms":)" + std::to_string(kTaskMs) + "}]}";
}

std::string Id(unsigned prefix, int number) {
  char id[17];
  std::snprintf(id, sizeof(id), "%08x%08x", prefix, number);
  return id;
}

struct probe {
  std::int64_t sent = 0;
  unsigned status = 0;
};

int Run(const case_options& options, recorder& log) {
  lab system(options, log);
  system.Publish(1, {"trova", "conferma"});
  system.AddFront("front-1", kFront, {kFront});
  std::vector<std::unique_ptr<worker>> workers;
  for (int number = 1; number <= kAgents; ++number) {
    const std::string host = "127.0.44." + std::to_string(10 + number);
    system.AddSide("side-" + std::to_string(number), host, {kFront});
    workers.push_back(worker::Start({.id = "i-" + Id(0, number).substr(8),
                                     .service = "banco-turni",
                                     .listen = {host, 0},
                                     .agent = {host, system.port().control},
                                     .quiet_prefix = "00000002"},
                                    log));
  }
  system.WaitReady(kFront);
  system.WaitAgents(kFront, kAgents);
  lab::Sleep(2000);

  // Ordinary callers: a job of eight tasks each half second.
  std::atomic<bool> stopping = false;
  std::mutex mutex;
  std::vector<probe> probes;
  std::vector<std::thread> callers;
  std::thread ordinary([&] {
    for (int number = 1; !stopping; ++number) {
      callers.emplace_back([&, number] {
        const answer got =
            system.Call(kFront, "POST", lab::PathOf("trova", Id(1, number)),
                        Job(8, 1600, 600), kDeadlineMs, kDeadlineMs + 1000);
        log.Line("ordinary caller %d: %u %s after %lld ms", number, got.status,
                 got.body.c_str(), static_cast<long long>(got.received - got.sent));
        const std::lock_guard lock(mutex);
        probes.push_back({got.sent, got.status});
      });
      lab::Sleep(500);
    }
  });
  lab::Sleep(3000);

  constexpr int kJobs = kBurstPerSecond * kBurstSeconds;
  const std::int64_t burst_from = log.NowMs();
  std::atomic<int> completed = 0;
  std::atomic<int> refused = 0;
  std::atomic<int> cut_off = 0;
  std::atomic<int> unanswered = 0;
  std::vector<std::thread> burst;
  if (options.trouble) {
    log.Line("burst begins: %d jobs of %d tasks in %d s", kJobs, kTasksPerJob,
             kBurstSeconds);
    for (int number = 1; number <= kJobs; ++number) {
      while (log.NowMs() < burst_from + number * 1000 / kBurstPerSecond)
        lab::Sleep(1);
      burst.emplace_back([&, number] {
        const answer got = system.Call(
            kFront, "POST", lab::PathOf("conferma", Id(2, number)),
            Job(kTasksPerJob, kTaskCpu, kSpecBytes), kDeadlineMs, kDeadlineMs + 1000);
        auto& count = got.status == 200   ? completed
                      : got.status == 503 ? refused
                      : got.status == 0   ? unanswered
                                          : cut_off;
        ++count;
      });
    }
    log.Line("burst ends");
  } else {
    lab::Sleep(kBurstSeconds * 1000);
  }
  const std::int64_t burst_to = log.NowMs();
  for (std::thread& each : burst)
    each.join();
  if (options.trouble) {
    log.Line("burst: %d completed, %d refused, %d cut off with 504, %d without "
             "any answer a second after their deadline",
             completed.load(), refused.load(), cut_off.load(), unanswered.load());
  }
  // Callers of the burst have left by now.
  const std::int64_t judged_from = burst_to + kDeadlineMs + 3500;
  const std::int64_t judged_to = judged_from + kRecoverMs;
  std::vector<std::string> names = {"front-1"};
  for (int number = 1; number <= kAgents; ++number)
    names.push_back("side-" + std::to_string(number));
  std::string broken;
  const auto check_processes = [&] {
    for (const std::string& name : names) {
      const long limit = name == "front-1" ? kFrontMemoryMb : kSideMemoryMb;
      const long peak = system.PeakMemoryKb(name) / 1024;
      if (!system.IsRunning(name) && broken.empty())
        broken = name + " has ended";
      else if (peak > limit && broken.empty())
        broken = name + " takes " + std::to_string(peak) + " MB, limit " +
                 std::to_string(limit) + " MB";
    }
  };
  std::int64_t next_line = 0;
  while (log.NowMs() < judged_to) {
    check_processes();
    if (log.NowMs() >= next_line) {
      next_line = log.NowMs() + 2000;
      log.Line("front-1 has taken %ld MB at most",
               system.PeakMemoryKb("front-1") / 1024);
    }
    lab::Sleep(100);
  }
  stopping = true;
  ordinary.join();
  for (std::thread& each : callers)
    each.join();
  check_processes();
  int answered = 0;
  int judged = 0;
  int answered_before = 0;
  for (const probe& each : probes) {
    if (each.sent < burst_from)
      answered_before += each.status == 200 ? 1 : 0;
    if (each.sent < judged_from || each.sent > judged_to)
      continue;
    ++judged;
    answered += each.status != 0 ? 1 : 0;
  }
  if (answered_before == 0) {
    log.Line("no ordinary job was served before the burst");
    return kCouldNotRun;
  }
  log.Line("ordinary jobs sent %lld to %lld ms after the burst: %d, with any "
           "answer: %d",
           static_cast<long long>(judged_from - burst_to),
           static_cast<long long>(judged_to - burst_to), judged, answered);
  if (!broken.empty())
    log.Line("Fault: %s", broken.c_str());
  if (answered == 0)
    log.Line("Fault: front-1 hangs");
  return !broken.empty() || answered == 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return review::RunCase(argc, argv, review::Run);
}
