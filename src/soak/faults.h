#ifndef EGRETRACK_SOAK_FAULTS_H_
#define EGRETRACK_SOAK_FAULTS_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "soak/deployment.h"

namespace egretrack::soak {

// Injects random faults, several at the same time, each of which ends by
// itself. The sequence depends on the seed alone.
class faults {
 public:
  faults(deployment& system, std::uint64_t seed);

  // Begins and ends what is due.
  void Advance(monotonic_time now);
  // Names of what was injected, in order.
  const std::vector<std::string>& injected() const { return injected_; }

 private:
  using inject = void (faults::*)(monotonic_time now);

  void KillEntry(monotonic_time now);
  void KillAgent(monotonic_time now);
  void PauseEntry(monotonic_time now);
  void PauseAgent(monotonic_time now);
  void TerminateEntry(monotonic_time now);
  void TerminateAgent(monotonic_time now);
  void KillAll(monotonic_time now);
  void CutEntry(monotonic_time now);
  void SilenceEntry(monotonic_time now);
  void BlockEntry(monotonic_time now);
  void DelayEntry(monotonic_time now);
  void DelayWorker(monotonic_time now);
  void CutWorker(monotonic_time now);
  void DisturbStore(monotonic_time now);
  void ForgetHistory(monotonic_time now);
  void Publish(monotonic_time now);
  void CrashWorker(monotonic_time now);
  void LateOrders(monotonic_time now);
  void LoseAnswers(monotonic_time now);
  void FailRuns(monotonic_time now);
  void SlowWorker(monotonic_time now);
  void StallWorker(monotonic_time now);

  void Disturb(int worker,
               const standins::worker_faults& faults,
               monotonic_time now);
  daemon* PickUp(std::vector<daemon>& group);
  int PickWorker();
  milliseconds Length(int shortest, int longest);
  void Later(monotonic_time at, std::function<void()> action);
  int Number(int low, int high);

  struct pending {
    monotonic_time at;
    std::function<void()> action;
    bool operator>(const pending& other) const { return at > other.at; }
  };

  deployment& system_;
  std::mt19937_64 random_;
  std::priority_queue<pending, std::vector<pending>, std::greater<>> pending_;
  monotonic_time next_{};
  std::vector<std::string> injected_;
};

}  // namespace egretrack::soak

#endif  // EGRETRACK_SOAK_FAULTS_H_
