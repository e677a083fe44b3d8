// A worker crashes and starts again under its id; then the time of day of its
// machine jumps back, and the worker crashes and starts once more, so that its
// last life has a lower time of birth than the one before.
#include <mutex>
#include <thread>

#include "review/standins/deployment.h"

using namespace egretrack;
using namespace egretrack::review;

namespace {

constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;
constexpr std::size_t kMachine = 2;
constexpr int kJobs = 6;
constexpr int kTasks = 8;
constexpr int kRunMs = 700;
constexpr milliseconds kDeadline{6000};
constexpr milliseconds kJump{2400};     // x of the site's clock_step
constexpr milliseconds kDownTime{400};  // Of the worker, twice.
constexpr milliseconds kLifeTime{800};  // Of the worker's second life.
constexpr milliseconds kOverlapSlack{20};

}  // namespace

int main(int argc, char** argv) {
  const auto system = deployment::Create(argc, argv);
  std::vector<std::unique_ptr<worker>> workers;
  if (!system || !system->StartAll(workers))
    return kCouldNotRun;

  bool started = true;
  const auto restart = [&](milliseconds clock_error) {
    system->log().Note("worker w2 crashes");
    workers[kMachine].reset();
    SleepFor(kDownTime);
    worker_options options = system->WorkerOptions(kMachine);
    options.born += clock_error.count();
    workers[kMachine] = worker::Start(options, system->log());
    started = started && workers[kMachine] != nullptr;
  };
  if (Trouble()) {
    restart(milliseconds(0));
    SleepFor(kLifeTime);
    system->log().Note("the time of day of machine 2 jumps back by " +
                       std::to_string(kJump.count()) + " ms");
    restart(-kJump);
    SleepFor(milliseconds(200));
  }
  std::vector<std::thread> clients;
  std::mutex mutex;
  int completed = 0;
  for (int number = 0; number < kJobs; ++number) {
    clients.emplace_back([&, number] {
      const attempt_result got = system->Submit(
          {1 + number % kEntries, "5c0e7a21d94b360" + std::to_string(number),
           kTasks, kRunMs, kDeadline});
      const std::lock_guard lock(mutex);
      completed += got.body.find("completed") != std::string::npos ? 1 : 0;
    });
  }
  for (std::thread& client : clients)
    client.join();
  SleepFor(seconds(1));

  const std::size_t overlaps = system->log().CountOverlaps(kOverlapSlack);
  system->log().Note("result: " + std::to_string(overlaps) +
                     " overlapping pairs of runs, " +
                     std::to_string(completed) + " jobs completed");
  if (overlaps > 0)
    return kBroken;
  return started && completed == kJobs ? 0 : kCouldNotRun;
}
