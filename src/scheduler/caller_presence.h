#ifndef EGRETRACK_SCHEDULER_CALLER_PRESENCE_H_
#define EGRETRACK_SCHEDULER_CALLER_PRESENCE_H_

#include <cstdint>

#include "egretrack/base/time.h"

// Decides whether work may begin for another process, by when that process was
// last known to be there. Load pattern: a process stands still while its
// callers leave and send their jobs elsewhere; when it resumes, the news of
// that wait unread behind its own timers. docs/design.md lists the places that
// ask.
namespace egretrack::scheduler {

// Whether a process that was seen at `seen_at` still counts as present.
bool IsPresent(monotonic_time seen_at,
               monotonic_time now,
               microseconds max_age);

enum class presence : std::uint8_t {
  kPresent,
  kUnknown,       // The caller has to be looked for.
  kCheckPending,  // A look is under way.
};

// What an entry knows of the caller of one job.
class caller_presence {
 public:
  caller_presence() = default;
  explicit caller_presence(monotonic_time seen_at) : seen_at_(seen_at) {}

  void RecordCheck() { check_pending_ = true; }
  // Ends the pending check. An answer that was long under way is no news.
  void RecordSeen(monotonic_time seen_at);

  presence Judge(monotonic_time now, microseconds max_age) const;
  monotonic_time seen_at() const { return seen_at_; }

 private:
  monotonic_time seen_at_{};
  bool check_pending_ = false;
};

}  // namespace egretrack::scheduler

#endif  // EGRETRACK_SCHEDULER_CALLER_PRESENCE_H_
