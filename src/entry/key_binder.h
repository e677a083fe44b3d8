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

// Binds Idempotency-Keys to job ids by rows of the table service, many in one
// transaction.
class key_binder {
 public:
  using on_bound = std::function<void(decision::key_bound)>;

  // A key that is not bound after `bound` is reported as unknown. `done` runs
  // on the worker.
  key_binder(traffic_thread& thread,
             store::table_client& table,
             milliseconds bound,
             on_bound done);

  // Safe from any thread.
  void Bind(std::string key, const job_id& id);

 private:
  struct attempt {
    job_id id;
    monotonic_time give_up;
  };
  using key_list = std::vector<std::string>;

  void Add(const std::string& key, attempt added);
  void MakeReady(const std::string& key);
  void Flush();
  void OnWritten(const key_list& keys, const result<void>& written);
  void ReadRow(const std::string& key);
  void OnRow(const std::string& key,
             const result<std::optional<store::row>>& found);
  void Retry(const std::string& key);
  void SettleBound(const std::string& key, const job_id& bound_to);
  void SettleUnknown(const std::string& key);

  traffic_thread& thread_;
  store::table_client& table_;
  const milliseconds bound_;
  const on_bound done_;
  // Attempts by key, in order; the first of each is being written.
  std::map<std::string, std::deque<attempt>> attempts_;
  std::deque<std::string> ready_;  // To be written by the next transaction.
  bool flush_planned_ = false;
  monotonic_time next_flush_{};
};

}  // namespace egretrack::entry

#endif  // EGRETRACK_ENTRY_KEY_BINDER_H_
