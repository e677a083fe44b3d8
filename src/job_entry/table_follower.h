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

// Rows that changed, or all rows of the table.
struct table_change {
  std::vector<platform::store_row> rows;
  std::vector<platform::invalid_row> invalid_rows;
  bool full_snapshot = false;
  // Of a full snapshot: the store's version when its first page was read. Rows
  // of later pages may be newer.
  std::uint64_t version = 0;
};

// Result of a read or watch of the store.
struct table_read {
  result<platform::store_page> page;
};

// Follows one table of the store: reads the whole table, then watches it for
// changes, and reads it again when the store has discarded the history since
// the last change. Owned by the control thread. Results of calls are passed to
// `post` on a traffic thread, which hands them to HandleRead() as an event.
class table_follower {
 public:
  using on_read = std::function<void(table_read)>;

  table_follower(platform::store_client& store,
                 std::string table,
                 milliseconds watch_timeout,
                 on_read post);

  // Starts the call that is due, unless one is in flight; returns the time of
  // the next call of this function.
  monotonic_time Advance(monotonic_time now);

  // Returns the change that the call delivered; std::nullopt if it failed or if
  // further pages of a full read are missing.
  std::optional<table_change> HandleRead(table_read outcome,
                                         monotonic_time now);

  // Time of the first failure since the last success, if any.
  std::optional<monotonic_time> failing_since() const { return failing_since_; }
  const std::string& last_failure() const { return last_failure_; }

 private:
  void StartRead();
  void HandleFailure(const error& failure, monotonic_time now);

  platform::store_client& store_;
  const std::string table_;
  const milliseconds watch_timeout_;
  const on_read post_;
  bool watching_ = false;  // False during a full read.
  bool in_flight_ = false;
  std::uint64_t version_ = 0;
  std::string next_key_;   // First key of the next page of a full read.
  table_change snapshot_;  // The pages of a full read so far.
  monotonic_time next_call_{};
  milliseconds backoff_{0};
  std::optional<monotonic_time> failing_since_;
  std::string last_failure_;
};

}  // namespace egretrack::job_entry

#endif  // EGRETRACK_JOB_ENTRY_TABLE_FOLLOWER_H_
