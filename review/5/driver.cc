// An entry freezes and wakes again. Meanwhile a worker crashes, and a worker of
// another kind comes at its address. Jobs that require the label of the first
// must not start on the second. Which of the waiting messages the entry handles
// first as it wakes is left to chance, so this is done a few times.
#include <algorithm>
#include <csignal>
#include <mutex>
#include <thread>

#include "review/standins/deployment.h"

using namespace egretrack;
using namespace egretrack::review;

namespace {

constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;
// At most; the first start without the label ends them.
constexpr int kRounds = 12;
constexpr std::size_t kReplaced = 2;  // The only worker of kind "b".
constexpr int kJobs = 8;              // In each round.
constexpr milliseconds kDeadline{1500};

worker_options MakeOptions(const deployment& system,
                           int number,
                           int life,
                           const std::string& kind) {
  worker_options options = system.WorkerOptions(number);
  if (life > 0)
    options.id += "-" + std::to_string(life);
  options.name = options.id + "(" + kind + ")";
  options.labels = {kind, "r1-" + std::to_string((number - 1) / 3 + 1)};
  return options;
}

}  // namespace

int main(int argc, char** argv) {
  const auto system = deployment::Create(argc, argv);
  std::vector<std::unique_ptr<worker>> workers;
  const auto change = [&](int number, worker_options& options) {
    options = MakeOptions(*system, number, 0, number == kReplaced ? "b" : "a");
  };
  if (!system || !system->StartAll(workers, change))
    return kCouldNotRun;

  bool started = true;
  int completed = 0;
  const auto replace = [&](int life, const std::string& kind) {
    system->log().Note("worker 2 crashes");
    workers[kReplaced].reset();
    SleepFor(milliseconds(500));
    workers[kReplaced] = worker::Start(
        MakeOptions(*system, kReplaced, life, kind), system->log());
    started = started && workers[kReplaced] != nullptr;
  };
  const auto count_wrong_starts = [&] {
    const std::vector<run_record> runs = system->log().runs();
    return std::count_if(runs.begin(), runs.end(), [](const run_record& run) {
      return run.worker.find("(b)") == std::string::npos;
    });
  };
  int rounds = 0;
  for (; rounds < kRounds && count_wrong_starts() == 0; ++rounds) {
    if (Trouble()) {
      system->SignalEntry(1, SIGSTOP);
      SleepFor(milliseconds(200));
      replace(2 * rounds + 1, "a");
      SleepFor(milliseconds(100));
    }
    std::vector<std::thread> clients;
    std::mutex mutex;
    for (int number = 0; number < kJobs; ++number) {
      const std::string job =
          "5c0e7a21d94b" + std::to_string(1000 + 10 * rounds + number);
      clients.emplace_back([&, job] {
        const attempt_result got =
            system->Submit({1, job, 1, 200, kDeadline, 1600, "b"});
        const std::lock_guard lock(mutex);
        completed += got.body.find("completed") != std::string::npos ? 1 : 0;
      });
    }
    if (Trouble()) {
      SleepFor(milliseconds(200));
      system->SignalEntry(1, SIGCONT);
    }
    for (std::thread& client : clients)
      client.join();
    if (Trouble()) {
      SleepFor(seconds(1));
      replace(2 * rounds + 2, "b");
      SleepFor(seconds(2));
    }
  }

  for (const run_record& run : system->log().runs()) {
    if (run.worker.find("(b)") == std::string::npos)
      system->log().Note("BROKEN: " + run.task +
                         " requires label b and ran on " + run.worker);
  }
  const auto broken = count_wrong_starts();
  system->log().Note("result: " + std::to_string(broken) +
                     " starts without the label in " + std::to_string(rounds) +
                     " rounds, " + std::to_string(completed) +
                     " jobs completed");
  if (broken > 0)
    return kBroken;
  return started && (Trouble() || completed == kRounds * kJobs) ? 0
                                                                : kCouldNotRun;
}
