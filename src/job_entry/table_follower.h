#ifndef EGRETRACK_JOB_ENTRY_TABLE_FOLLOWER_H_
#define EGRETRACK_JOB_ENTRY_TABLE_FOLLOWER_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "egretrack/base/time.h"
#include "platform/store_client.h"

namespace egretrack::job_entry {

// What a follower learned: rows that changed, or all rows of the table.
struct table_change {
  std::vector<platform::store_row> rows;
  bool whole = false;
};

// How a follower's call to the store ended.
struct follower_answer {
  result<platform::store_page> page;
};

// Keeps up with one table of the store: reads it whole, then watches it, and
// reads it again when the store has dropped the history in between. Owned by
// the control thread; calls are made by `store`, whose answers come back as
// events through `post`.
class table_follower {
 public:
  using on_answer = std::function<void(follower_answer)>;

  table_follower(platform::store_client& store,
                 std::string table,
                 milliseconds watch,
                 on_answer post);

  // Makes the call that is due, if none is on its way; returns when it wants
  // to be called again.
  monotonic_time Advance(monotonic_time now);

  // What the answer has changed; nothing when it failed, or was one part of
  // several.
  std::optional<table_change> Take(follower_answer answer, monotonic_time now);

  // Since when no call has succeeded; nothing while the last one did.
  std::optional<monotonic_time> failing_since() const { return failing_since_; }
  const std::string& last_failure() const { return last_failure_; }

 private:
  void Call();
  void NoteFailure(const error& failure, monotonic_time now);

  platform::store_client& store_;
  const std::string table_;
  const milliseconds watch_;
  const on_answer post_;
  bool watching_ = false;  // False: reads the table whole.
  bool in_flight_ = false;
  std::uint64_t version_ = 0;
  std::string next_key_;  // Where the next part of a whole read begins.
  std::vector<platform::store_row> parts_;
  monotonic_time next_call_{};
  milliseconds backoff_{0};
  std::optional<monotonic_time> failing_since_;
  std::string last_failure_;
};

}  // namespace egretrack::job_entry

#endif  // EGRETRACK_JOB_ENTRY_TABLE_FOLLOWER_H_
