#ifndef EGRETRACK_DECISION_ENTRY_DRAIN_LIFECYCLE_H_
#define EGRETRACK_DECISION_ENTRY_DRAIN_LIFECYCLE_H_

#include <cstdint>
#include <memory>

namespace egretrack::decision {

// In the order of the states of the machine in entry_drain_lifecycle.cc.
enum class drain_phase : std::uint8_t {
  kServing,
  kGrace,      // Not ready, but new jobs are still accepted.
  kFinishing,  // New jobs are refused; running ones finish.
  kFinished,
};

enum class drain_signal : std::uint8_t { kDrain, kGraceOver, kIdle };

// Graceful shutdown of an entry.
class entry_drain_lifecycle {
 public:
  entry_drain_lifecycle();
  ~entry_drain_lifecycle();

  // False, without a change, when the phase does not allow the signal.
  bool Apply(drain_signal signal);

  drain_phase phase() const;
  bool accepts_jobs() const {
    return phase() == drain_phase::kServing || phase() == drain_phase::kGrace;
  }

 private:
  struct machine;
  std::unique_ptr<machine> machine_;
};

}  // namespace egretrack::decision

#endif  // EGRETRACK_DECISION_ENTRY_DRAIN_LIFECYCLE_H_
