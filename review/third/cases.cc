#include "cases.h"

#include <algorithm>
#include <future>
#include <string>
#include <thread>
#include <vector>

namespace review {
namespace {

constexpr char kQueue[] = "queue";
constexpr char kOtherQueue[] = "other";
constexpr char kJob[] = "5c0e7a21d94b36f8";
// A chain that lasts well beyond all bounds of the cases.
constexpr int kChainSteps = 14;
constexpr milliseconds kStepWork{1000};
constexpr milliseconds kChainDeadline{30000};
constexpr milliseconds kCancelDeadline{4000};

bool IsCancelAcknowledged(const answer& cancelled) {
  return cancelled.result.status / 100 == 2 || cancelled.result.status == 410;
}

// UNASKED: no task of the job may start later than `from`.
verdict JudgeStarts(deployment& system,
                    record& log,
                    const answer& cancelled,
                    steady::time_point from) {
  if (!IsCancelAcknowledged(cancelled)) {
    log.Write("verdict: the cancellation was not acknowledged");
    return verdict::kCannotRun;
  }
  const auto late = system.starts().Of(kJob, from);
  log.Write("verdict: " + std::to_string(late.size()) + " starts later than " +
            std::to_string(log.Seconds(from)) + " s");
  return late.empty() ? verdict::kHeld : verdict::kBroken;
}

// Two entries and two workers.
void Begin(deployment& system, milliseconds work) {
  system.Configure(7, {kQueue, kOtherQueue});
  system.AddEntry("entry-b");
  system.AddEntry("entry-a");
  system.AddWorker("worker-1", work);
  system.AddWorker("worker-2", work);
  system.WaitUntilReady();
}

}  // namespace

// A request is held up by a cut. Its caller gives up and sends the job again to
// another entry; then the first request arrives after all.
verdict HeldRequest(deployment& system, record& log, bool disrupted) {
  constexpr milliseconds kWork{3000};
  constexpr milliseconds kDeadline{4000};
  constexpr milliseconds kCutTime{4000};
  constexpr milliseconds kResendDelay{1300};
  constexpr int kTasks = 10;
  system.Configure(7, {kQueue});
  system.AddEntry("entry-b");
  system.AddEntry("entry-a", true);
  for (const char* worker : {"worker-1", "worker-2", "worker-3"})
    system.AddWorker(worker, kWork);
  system.WaitUntilReady();
  const std::string body = Tasks(kTasks, kWork);
  const int connection = system.Open("entry-a");
  std::this_thread::sleep_for(milliseconds(200));
  const auto cut_at = steady::now();
  if (disrupted)
    system.Cut("entry-a", true);
  std::this_thread::sleep_for(milliseconds(50));
  auto first = system.SendAsync("entry-a", "POST", kQueue, kJob, body,
                                kDeadline, connection);
  std::this_thread::sleep_until(cut_at + kCutTime);
  if (disrupted)
    system.Cut("entry-a", false);
  if (first.get().result.status == 0) {
    std::this_thread::sleep_for(kResendDelay);
    system.Send("entry-b", "POST", kQueue, kJob, body, kDeadline);
  }
  std::this_thread::sleep_for(milliseconds(500));
  const auto doubled = system.starts().Doubled();
  for (const task_start& each : doubled) {
    log.Write("doubled: " + each.task + " run " + std::to_string(each.run) +
              " on " + each.worker + " from " +
              std::to_string(log.Seconds(each.at)) + " to " +
              std::to_string(log.Seconds(each.ended_at)) + " s");
  }
  log.Write("verdict: " + std::to_string(doubled.size()) +
            " starts of tasks that another worker was at work on");
  return doubled.empty() ? verdict::kHeld : verdict::kBroken;
}

// A task ends its worker as it begins; the worker is back soon after under its
// id. The caller must not be told that its job was refused.
verdict FalseRefusal(deployment& system, record& log, bool disrupted) {
  constexpr milliseconds kWork{1200};
  constexpr milliseconds kEstimate{2000};
  constexpr milliseconds kDeadline{1500};
  constexpr milliseconds kDownTime{700};
  system.Configure(7, {kQueue});
  system.AddEntry("entry-a");
  system.AddWorker("worker-1", kWork);
  system.WaitUntilReady();
  if (disrupted)
    system.worker("worker-1").CrashAtNextStart();
  auto job = system.SendAsync("entry-a", "POST", kQueue, kJob,
                              ChainOfTasks(1, kEstimate), kDeadline);
  if (disrupted) {
    const auto until = steady::now() + milliseconds(2000);
    while (!system.worker("worker-1").crashed() && steady::now() < until)
      std::this_thread::sleep_for(milliseconds(1));
    system.worker("worker-1").Crash();
    std::this_thread::sleep_for(kDownTime);
    system.RestartWorker("worker-1");
  }
  const answer answered = job.get();
  std::this_thread::sleep_for(milliseconds(1000));
  const auto starts = system.starts().Of(kJob);
  const bool rejected =
      answered.result.status == 503 || answered.result.status == 429;
  log.Write("verdict: " + std::to_string(starts.size()) +
            " starts; the only attempt was " +
            (rejected ? "rejected" : "not rejected"));
  if (starts.empty())
    return verdict::kCannotRun;
  return rejected ? verdict::kBroken : verdict::kHeld;
}

// A job is cancelled after a configuration has removed its queue.
verdict CancelAfterRouteRemoved(deployment& system,
                                record& log,
                                bool disrupted) {
  Begin(system, kStepWork);
  auto job =
      system.SendAsync("entry-a", "POST", kQueue, kJob,
                       ChainOfTasks(kChainSteps, kStepWork), kChainDeadline);
  std::this_thread::sleep_for(milliseconds(1500));
  if (disrupted)
    system.Configure(9, {kOtherQueue});
  std::this_thread::sleep_for(kConfigApplyBound + kSlack);
  const answer cancelled =
      system.Send("entry-a", "DELETE", kQueue, kJob, "", kCancelDeadline);
  job.wait();
  return JudgeStarts(system, log, cancelled,
                     cancelled.at + kCancelBound + kSlack);
}

// A worker is replaced by one of another kind while an entry stands still. Jobs
// that wait for the entry may not run on the new worker. The entry's threads
// race for the order of events, so that there are several rounds.
verdict StartWithoutLabel(deployment& system, record& log, bool disrupted) {
  constexpr milliseconds kWork{300};
  constexpr milliseconds kDeadline{4000};
  constexpr milliseconds kFreezeTime{1500};
  constexpr int kRounds = 4;
  constexpr int kJobs = 32;
  constexpr char kLabel[] = "a";
  system.Configure(7, {kQueue});
  system.AddEntry("entry-a");
  system.AddWorker("worker-1", kWork, kLabel);
  system.AddWorker("worker-2", kWork, kLabel);
  system.WaitUntilReady();
  std::string worker = "worker-1";
  for (int round = 1; round <= kRounds; ++round) {
    const std::string new_worker = "worker-b" + std::to_string(round);
    std::vector<int> connections;
    for (int number = 0; number < kJobs; ++number)
      connections.push_back(system.Open("entry-a"));
    std::this_thread::sleep_for(milliseconds(200));
    if (disrupted)
      system.Freeze("entry-a", true);
    const auto frozen_at = steady::now();
    std::this_thread::sleep_for(milliseconds(100));
    system.ReplaceWorker(worker, new_worker, "b");
    std::this_thread::sleep_for(milliseconds(500));
    std::vector<std::future<answer>> jobs;
    for (int number = 0; number < kJobs; ++number) {
      jobs.push_back(system.SendAsync(
          "entry-a", "POST", kQueue,
          "5c0e7a21d94b3" + std::to_string(100 * round + number),
          TasksWithLabel(2, kWork, kLabel), kDeadline, connections[number]));
    }
    std::this_thread::sleep_until(frozen_at + kFreezeTime);
    if (disrupted)
      system.Freeze("entry-a", false);
    for (auto& job : jobs)
      job.wait();
    const auto wrong = system.starts().On(new_worker);
    log.Write("round " + std::to_string(round) + ": " +
              std::to_string(wrong.size()) +
              " tasks that require the label a began on a worker without it");
    if (!wrong.empty())
      return verdict::kBroken;
    worker = "worker-a" + std::to_string(round);
    system.ReplaceWorker(new_worker, worker, kLabel);
    std::this_thread::sleep_for(milliseconds(3000));
  }
  return verdict::kHeld;
}

}  // namespace review
