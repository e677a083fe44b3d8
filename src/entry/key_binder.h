#ifndef EGRETRACK_ENTRY_KEY_BINDER_H_
#define EGRETRACK_ENTRY_KEY_BINDER_H_

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "egretrack/decision/entry_core.h"
#include "egretrack/store/table_client.h"
#include "entry/traffic_thread.h"

namespace egretrack::entry {

// Binds Idempotency-Keys to job ids by writing rows to the table service.
// Writes many keys in one transaction.
class key_binder {
 public:
  using on_bound = std::function<void(decision::key_bound)>;

  // Reports an attempt whose outcome is not known after `timeout` as
  // key_binding::kUnknown. Calls `done` on `thread`.
  key_binder(traffic_thread& thread,
             store::table_client& table,
             milliseconds timeout,
             on_bound done);

  // Safe from any thread.
  void Bind(std::string key, const job_id& id);

 private:
  struct attempt {
    job_id id;
    monotonic_time expiry;
  };
  using key_list = std::vector<std::string>;

  void Add(const std::string& key, attempt added);
  void Enqueue(const std::string& key);
  void WriteBatch();
  void OnWritten(const key_list& keys, const result<void>& written);
  void ReadRow(const std::string& key);
  void OnRow(const std::string& key,
             const result<std::optional<store::row>>& found);
  void Retry(const std::string& key);
  void CompleteBound(const std::string& key, const job_id& bound_to);
  void CompleteUnknown(const std::string& key);

  traffic_thread& thread_;
  store::table_client& table_;
  const milliseconds timeout_;
  const on_bound done_;
  // Pending attempts by key, oldest first. Only the first of each key is
  // written.
  std::map<std::string, std::deque<attempt>> attempts_;
  std::deque<std::string> write_queue_;  // Keys that wait for a transaction.
  bool write_scheduled_ = false;
  monotonic_time next_write_{};
};

}  // namespace egretrack::entry

#endif  // EGRETRACK_ENTRY_KEY_BINDER_H_
