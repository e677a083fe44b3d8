// An entry is killed while its job runs, and the platform restarts it after a
// short delay. The client sends the job again resend_ms later.
#include <csignal>

#include <thread>

#include "review/standins/deployment.h"

using namespace egretrack;
using namespace egretrack::review;

namespace {

constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;
constexpr milliseconds kRestartDelay{100};
constexpr milliseconds kResend{1300};  // resend_ms
constexpr int kRunMs = 3000;
constexpr milliseconds kDeadline{12000};
// Starts and ends are seen a few milliseconds late by the stand-ins.
constexpr milliseconds kOverlapSlack{20};

}  // namespace

int main(int argc, char** argv) {
  const auto system = deployment::Create(argc, argv);
  std::vector<std::unique_ptr<worker>> workers;
  if (!system || !system->StartAll(workers))
    return kCouldNotRun;

  const std::string job = "5c0e7a21d94b36f8";
  attempt_result answer;
  std::thread client([&] {
    answer = system->Submit({1, job, 4, kRunMs, kDeadline});
    if (answer.status != 0 && answer.status != 502 && answer.status != 504)
      return;
    SleepFor(kResend);
    answer = system->Submit({2, job, 4, kRunMs, kDeadline});
  });
  SleepFor(milliseconds(500));
  bool started = true;
  if (Trouble()) {
    system->SignalEntry(1, SIGKILL);
    SleepFor(kRestartDelay);
    started = system->StartEntry(1);
  }
  client.join();
  SleepFor(seconds(1));
  const std::size_t overlaps = system->log().CountOverlaps(kOverlapSlack);
  const bool completed = answer.body.find("completed") != std::string::npos;
  system->log().Note("result: " + std::to_string(overlaps) +
                     " overlapping pairs of runs, job " +
                     (completed ? "completed" : "not completed"));
  if (overlaps > 0)
    return kBroken;
  return started && completed ? 0 : kCouldNotRun;
}
