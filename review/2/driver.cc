// An entry is killed while jobs run, and the platform restarts it after a short
// delay. Other clients then send new jobs to it. No job may be shown as
// completed before its own task has ended.
#include <csignal>

#include <mutex>
#include <thread>

#include "review/standins/deployment.h"

using namespace egretrack;
using namespace egretrack::review;

namespace {

constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;
constexpr int kJobs = 60;  // In each of the two groups.
constexpr milliseconds kRestartDelay{100};
constexpr milliseconds kResend{1300};  // resend_ms
constexpr int kFirstRunMs = 1500;
constexpr int kSecondRunMs = 3000;
constexpr milliseconds kDeadline{12000};

std::string JobId(char group, int number) {
  std::string id(1, group);
  id += "c0e7a21d94b36";
  id += static_cast<char>('0' + number / 10);
  id += static_cast<char>('0' + number % 10);
  return id;
}

// Jobs of different sizes, so that both groups are spread over the workers in
// different orders.
int Cpu(char group, int number) {
  return 300 + (group * 31 + number * number * 97) % 700;
}

struct answer {
  std::string job;
  bool completed = false;
  microseconds at{0};
};

// The record and the client's clock differ by less than this.
constexpr microseconds kClockSlack{20000};

}  // namespace

int main(int argc, char** argv) {
  const auto system = deployment::Create(argc, argv);
  std::vector<std::unique_ptr<worker>> workers;
  if (!system || !system->StartAll(workers))
    return kCouldNotRun;

  std::mutex mutex;
  std::vector<answer> answers;
  std::vector<std::thread> clients;
  const auto run_client = [&](char group, int number, int run_ms) {
    const std::string job = JobId(group, number);
    const int cpu = Cpu(group, number);
    attempt_result got = system->Submit({1, job, 1, run_ms, kDeadline, cpu});
    if (got.status == 0 || got.status == 502 || got.status == 504) {
      SleepFor(kResend);
      got = system->Submit({2, job, 1, run_ms, kDeadline, cpu});
    }
    const bool completed =
        got.status == 200 && got.body.find("completed") != std::string::npos;
    const std::lock_guard lock(mutex);
    answers.push_back({job, completed, system->log().Now()});
  };
  for (int number = 0; number < kJobs; ++number)
    clients.emplace_back(run_client, 'a', number, kFirstRunMs);
  SleepFor(milliseconds(300));
  bool started = true;
  if (Trouble()) {
    system->SignalEntry(1, SIGKILL);
    SleepFor(kRestartDelay);
    started = system->StartEntry(1);
    started = started && system->WaitUntilReady(1, seconds(5));
  }
  SleepFor(milliseconds(200));
  for (int number = 0; number < kJobs; ++number)
    clients.emplace_back(run_client, 'b', number, kSecondRunMs);
  for (std::thread& client : clients)
    client.join();
  SleepFor(seconds(1));

  int broken = 0;
  int completed = 0;
  const std::vector<run_record> runs = system->log().runs();
  for (const answer& got : answers) {
    completed += got.completed ? 1 : 0;
    const std::string task = got.job + ".0.0.0";
    bool done = false;
    for (const run_record& run : runs) {
      done = done || (run.task == task && run.how == "done" &&
                      run.ended <= got.at + kClockSlack);
    }
    if (got.completed && !done) {
      ++broken;
      system->log().Note("BROKEN: job " + got.job +
                         " was shown as completed before its task had ended");
    }
  }
  system->log().Note("result: " + std::to_string(completed) +
                     " jobs completed, " + std::to_string(broken) +
                     " of them falsely");
  if (broken > 0)
    return kBroken;
  return started && completed == 2 * kJobs ? 0 : kCouldNotRun;
}
