// UNASKED: a wave of cancellations that entries send on to each other exceeds
// the connections of their internal ports; those that are turned away are
// acknowledged with 410, and their jobs go on.
#include <atomic>
#include <cstdlib>
#include <thread>
#include <vector>

#include "lab.h"

namespace review {
namespace {

constexpr int kFronts = 4;   // As in the site file.
constexpr int kSides = 11;   // As in the site file.
constexpr int kJobs = 300;
constexpr int kJobsPerSecond = 124;  // Traffic of the sheet.
constexpr int kCancelMs = 3000;      // Bound of the page.
constexpr int kStopMs = 50;          // Bound of the page.
constexpr int kTaskMs = 7000;        // The site's longest task takes 8,100 ms.
constexpr int kDeadlineMs = 20000;

std::string Id(int number) {
  char id[17];
  std::snprintf(id, sizeof(id), "%016x", number);
  return id;
}

std::string Host(int last) {
  return "127.0.47." + std::to_string(last);
}

int Run(const case_options& options, recorder& log) {
  lab system(options, log);
  std::vector<std::string> fronts;
  for (int number = 1; number <= kFronts; ++number)
    fronts.push_back(Host(number));
  system.Publish(1, {"riassegna", "trova"}, kDeadlineMs);
  for (int number = 1; number <= kFronts; ++number)
    system.AddFront("front-" + std::to_string(number), Host(number), fronts);
  std::vector<std::unique_ptr<worker>> workers;
  for (int number = 1; number <= kSides; ++number) {
    const std::string host = Host(10 + number);
    system.AddSide("side-" + std::to_string(number), host, fronts);
    workers.push_back(worker::Start({.id = "i-" + Id(number).substr(8),
                                     .service = "banco-turni",
                                     .listen = {host, 0},
                                     .agent = {host, system.port().control}},
                                    log));
  }
  for (const std::string& front : fronts) {
    system.WaitReady(front);
    system.WaitAgents(front, kSides);
  }
  lab::Sleep(1500);

  const std::string body =
      R"({"best_effort":true,"spec":")" + std::to_string(kTaskMs) +
      R"( cpu=500","steps":[{"count":1,"cpu":500,"mem_mb":64,"estimate_ms":7000}]})";
  const auto home = [](int number) { return number % kFronts; };
  std::vector<std::thread> clients;
  const std::int64_t from = log.NowMs();
  for (int number = 1; number <= kJobs; ++number) {
    while (log.NowMs() < from + number * 1000 / kJobsPerSecond)
      lab::Sleep(1);
    clients.emplace_back([&, number] {
      const std::string& front = fronts[static_cast<std::size_t>(home(number))];
      const answer job = system.Call(front, "POST",
                                     lab::PathOf("riassegna", Id(number)), body,
                                     kDeadlineMs, kDeadlineMs + 1000);
      log.Line("client: POST %s to %s is answered %u %s", Id(number).c_str(),
               front.c_str(), job.status, job.body.c_str());
    });
  }
  lab::Sleep(500);

  // Connections move between fronts: each DELETE comes to another front than
  // its job. With trouble they come at once, otherwise one after the other.
  log.Line("%d cancellations", kJobs);
  std::vector<answer> cancelled(static_cast<std::size_t>(kJobs));
  std::atomic<bool> at_once = !options.trouble;
  const auto cancel = [&](int number) {
    const int other = (home(number) + 1 + number % (kFronts - 1)) % kFronts;
    while (!at_once)
      std::this_thread::yield();
    cancelled[static_cast<std::size_t>(number - 1)] =
        system.Call(fronts[static_cast<std::size_t>(other)], "DELETE",
                    lab::PathOf("riassegna", Id(number)), "", 0, 5000);
  };
  std::vector<std::thread> wave;
  for (int number = 1; number <= kJobs; ++number) {
    if (options.trouble)
      wave.emplace_back(cancel, number);
    else
      cancel(number);
  }
  at_once = true;
  for (std::thread& each : wave)
    each.join();
  int gone = 0;
  for (int number = 1; number <= kJobs; ++number) {
    const answer& got = cancelled[static_cast<std::size_t>(number - 1)];
    gone += got.status == 410 ? 1 : 0;
    log.Line("client: DELETE %s was answered %u %s after %lld ms",
             Id(number).c_str(), got.status, got.body.c_str(),
             static_cast<long long>(got.received - got.sent));
  }
  for (std::thread& each : clients)
    each.join();
  lab::Sleep(200);

  int going_on = 0;
  for (const auto& each : workers) {
    for (const run_event& run : each->runs()) {
      const auto number = std::strtol(run.task.substr(0, 16).c_str(), nullptr, 16);
      const answer& got = cancelled[static_cast<std::size_t>(number - 1)];
      if (got.status != 200 && got.status != 410)
        continue;
      if (run.ended >= 0 && run.ended <= got.received + kCancelMs + kStopMs)
        continue;
      ++going_on;
      log.Line("UNASKED: task %s is at work until %lld ms after DELETE was "
               "answered %u",
               run.task.c_str(), static_cast<long long>(run.ended - got.received),
               got.status);
    }
  }
  log.Line("%d cancellations, %d answered 410; %d tasks were at work later than "
           "cancel_ms and stop_ms after that",
           kJobs, gone, going_on);
  return going_on > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return review::RunCase(argc, argv, review::Run);
}
