#ifndef EGRETRACK_SOAK_FAULTS_H_
#define EGRETRACK_SOAK_FAULTS_H_

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <span>
#include <string>
#include <vector>

#include "soak/deployment.h"

namespace egretrack::soak {

// Injects random faults into a deployment. Each fault ends after a random time,
// and faults may overlap. The stream of random numbers depends on the seed
// alone.
class fault_injector {
 public:
  // `selected` names the kinds of faults to inject; empty for all.
  fault_injector(deployment& system,
                 std::uint64_t seed,
                 std::span<const std::string> selected);

  // Begins and ends the faults that are due.
  void Advance(monotonic_time now);
  // Names of the injected faults, in order.
  const std::vector<std::string>& injected() const { return injected_; }

 private:
  using inject_function = void (fault_injector::*)(monotonic_time now);

  struct fault_kind {
    const char* name;
    inject_function inject;
  };
  static const std::array<fault_kind, 32> kFaultKinds;

  void KillEntry(monotonic_time now);
  void RestartEntry(monotonic_time now);
  void KillAgent(monotonic_time now);
  void PauseEntry(monotonic_time now);
  void PauseAgent(monotonic_time now);
  void TerminateEntry(monotonic_time now);
  void TerminateAgent(monotonic_time now);
  void KillAll(monotonic_time now);
  void CutEntry(monotonic_time now);
  void SilenceEntry(monotonic_time now);
  void SilenceAll(monotonic_time now);
  void BlockEntry(monotonic_time now);
  void DelayEntry(monotonic_time now);
  void DelayWorker(monotonic_time now);
  void CutWorker(monotonic_time now);
  void RefuseWorker(monotonic_time now);
  void DisturbStore(monotonic_time now);
  void ForgetHistory(monotonic_time now);
  void PublishConfiguration(monotonic_time now);
  void CrashWorker(monotonic_time now);
  void RestartWorker(monotonic_time now);
  void OddReport(monotonic_time now);
  void LateWorkerCalls(monotonic_time now);
  void LoseAnswers(monotonic_time now);
  void FailRuns(monotonic_time now);
  void SlowWorker(monotonic_time now);
  void StallWorker(monotonic_time now);
  void SlowWorkerCalls(monotonic_time now);
  void EvacuateDomain(monotonic_time now);
  void CrashAtStart(monotonic_time now);
  void ReplaceWorker(monotonic_time now);
  void HoldRequests(monotonic_time now);

  // Ends the workers that have crashed, and has them started again.
  void ReplaceCrashedWorkers(monotonic_time now);
  // Sets the faults of a worker and clears them after a random time.
  void SetWorkerFaults(int worker,
                       const standins::worker_faults& faults,
                       monotonic_time now);
  // Picks a random process. Returns null if it is down, paused or terminating.
  daemon* PickRunning(std::vector<daemon>& group);
  int PickWorker();
  milliseconds RandomDuration(int shortest_ms, int longest_ms);
  void ScheduleAt(monotonic_time at, std::function<void()> action);
  int RandomInt(int low, int high);

  struct scheduled_action {
    monotonic_time at;
    std::function<void()> action;
    bool operator>(const scheduled_action& other) const {
      return at > other.at;
    }
  };

  deployment& system_;
  std::mt19937_64 random_;
  std::priority_queue<scheduled_action,
                      std::vector<scheduled_action>,
                      std::greater<>>
      scheduled_;
  monotonic_time next_fault_at_{};
  // By worker: how long it stays down after a crash that CrashAtStart() asked
  // for.
  std::map<int, milliseconds> crash_down_times_;
  std::vector<const fault_kind*> selected_;
  std::vector<std::string> injected_;
};

}  // namespace egretrack::soak

#endif  // EGRETRACK_SOAK_FAULTS_H_
