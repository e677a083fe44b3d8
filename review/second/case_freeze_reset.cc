// TWICE: an entry that wakes from a freeze starts tasks of callers whose
// connections were reset meanwhile, and who have sent their jobs to another
// entry.
#include <algorithm>
#include <atomic>
#include <csignal>
#include <map>
#include <thread>
#include <vector>

#include "lab.h"
#include "proxy.h"

namespace review {
namespace {

constexpr int kSides = 11;  // As in the site file.
constexpr int kRounds = 12;
constexpr int kJobsPerRound = 4;
// Of the connections to one of 14 machines; the site file resets a share of
// 0.717 of those of a share of 0.404 of the machines.
constexpr int kResetsPerRound = 2;
constexpr int kFreezeMs = 1500;  // The site file freezes for 3.5 s.
constexpr int kResendMs = 1300;  // Bound of the page.
constexpr int kTaskMs = 2500;
constexpr int kDeadlineMs = 8000;
constexpr const char* kFront1 = "127.0.45.1";
constexpr const char* kFront2 = "127.0.45.2";
constexpr const char* kFront3 = "127.0.45.3";
// The network's side of front-1, where its callers reach it.
constexpr const char* kFront1Link = "127.0.45.101";

std::string Id(unsigned prefix, int number) {
  char id[17];
  std::snprintf(id, sizeof(id), "%08x%08x", prefix, number);
  return id;
}

std::string Job(int tasks, int task_ms) {
  const std::string ms = std::to_string(task_ms);
  return R"({"best_effort":true,"spec":")" + ms + R"( cpu=1600","steps":[{"count":)" +
         std::to_string(tasks) + R"(,"cpu":1600,"mem_mb":64,"estimate_ms":)" + ms +
         "}]}";
}

int Run(const case_options& options, recorder& log) {
  lab system(options, log);
  const ports& port = system.port();
  const std::vector<std::string> fronts = {kFront1, kFront2, kFront3};
  const auto callers_of_front1 =
      proxy::Open({kFront1Link, port.front}, {kFront1, port.front});
  system.Publish(1, {"trova", "riassegna"}, kDeadlineMs);
  for (std::size_t index = 0; index < fronts.size(); ++index)
    system.AddFront("front-" + std::to_string(index + 1), fronts[index], fronts);
  std::vector<std::unique_ptr<worker>> workers;
  for (int number = 1; number <= kSides; ++number) {
    const std::string host = "127.0.45." + std::to_string(10 + number);
    system.AddSide("side-" + std::to_string(number), host, fronts);
    workers.push_back(worker::Start({.id = "i-" + Id(0, number).substr(8),
                                     .service = "banco-turni",
                                     .listen = {host, 0},
                                     .agent = {host, port.control},
                                     .quiet_prefix = "00000001"},
                                    log));
  }
  for (const std::string& front : fronts) {
    system.WaitReady(front);
    system.WaitAgents(front, kSides);
  }

  // Ordinary callers of the other fronts.
  std::atomic<bool> stopping = false;
  std::thread ordinary([&] {
    for (int number = 1; !stopping; ++number) {
      system.Call(fronts[1 + static_cast<std::size_t>(number % 2)], "POST",
                  lab::PathOf("trova", Id(1, number)), Job(8, 50), 1500, 2500);
    }
  });
  lab::Sleep(1500);

  for (int round = 1; round <= kRounds; ++round) {
    std::vector<std::thread> clients;
    for (int number = 1; number <= kJobsPerRound; ++number) {
      clients.emplace_back([&, number] {
        const std::string id = Id(static_cast<unsigned>(0xa0 + round), number);
        const std::string path = lab::PathOf("riassegna", id);
        log.Line("client: POST %s to front-1", path.c_str());
        answer got = system.Call(kFront1Link, "POST", path, Job(1, kTaskMs),
                                 kDeadlineMs, kDeadlineMs + 1000);
        if (got.status == 0) {
          log.Line("client: POST %s: the connection is broken", path.c_str());
          lab::Sleep(kResendMs);
          log.Line("client: POST %s again, to front-2", path.c_str());
          got = system.Call(kFront2, "POST", path, Job(1, kTaskMs), kDeadlineMs,
                            kDeadlineMs + 1000);
        }
        log.Line("client: POST %s is answered %u %s", path.c_str(), got.status,
                 got.body.c_str());
      });
    }
    lab::Sleep(500);
    if (options.trouble) {
      system.Signal("front-1", SIGSTOP);
      log.Line("network: %d connections of callers to front-1 are reset",
               callers_of_front1->ResetOpenConnections(kResetsPerRound));
      lab::Sleep(kFreezeMs);
      system.Signal("front-1", SIGCONT);
    }
    for (std::thread& each : clients)
      each.join();
    lab::Sleep(1000);
  }
  stopping = true;
  ordinary.join();

  std::map<std::string, std::vector<run_event>> runs_by_task;
  for (const auto& each : workers) {
    for (const run_event& run : each->runs())
      runs_by_task[run.task].push_back(run);
  }
  int twice = 0;
  for (auto& [task, runs] : runs_by_task) {
    std::ranges::sort(runs, {}, &run_event::started);
    for (std::size_t index = 1; index < runs.size(); ++index) {
      const run_event& before = runs[index - 1];
      const run_event& later = runs[index];
      if (before.ended >= 0 && later.started >= before.ended)
        continue;
      ++twice;
      log.Line("TWICE: task %s runs on %s from %lld to %lld ms (%s), and on %s "
               "from %lld to %lld ms (%s)",
               task.c_str(), before.worker.c_str(),
               static_cast<long long>(before.started),
               static_cast<long long>(before.ended), before.how.c_str(),
               later.worker.c_str(), static_cast<long long>(later.started),
               static_cast<long long>(later.ended), later.how.c_str());
    }
  }
  log.Line("%zu tasks, %d runs at the same time as another one of the task",
           runs_by_task.size(), twice);
  return twice > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return review::RunCase(argc, argv, review::Run);
}
