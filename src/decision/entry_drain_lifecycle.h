#ifndef EGRETRACK_DECISION_ENTRY_DRAIN_LIFECYCLE_H_
#define EGRETRACK_DECISION_ENTRY_DRAIN_LIFECYCLE_H_

#include <cstdint>
#include <memory>

namespace egretrack::decision {

// In the order of the states of the machine in entry_drain_lifecycle.cc.
enum class drain_phase : std::uint8_t {
  kServing,
  kGrace,      // Reports not ready, but still accepts new jobs.
  kFinishing,  // Refuses new jobs until the running ones end.
  kFinished,
};

enum class drain_event : std::uint8_t { kDrain, kGraceOver, kIdle };

// Graceful shutdown of an entry.
class entry_drain_lifecycle {
 public:
  entry_drain_lifecycle();
  ~entry_drain_lifecycle();

  // Returns false and changes nothing if the phase does not allow the event.
  bool Apply(drain_event event);

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
