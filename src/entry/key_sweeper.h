#ifndef EGRETRACK_ENTRY_KEY_SWEEPER_H_
#define EGRETRACK_ENTRY_KEY_SWEEPER_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "egretrack/store/table_client.h"
#include "entry/traffic_thread.h"

namespace egretrack::entry {

// Deletes the rows of expired Idempotency-Keys at regular intervals. Keys that
// were bound in one transaction are deleted in one transaction.
class key_sweeper {
 public:
  // Returns the age at which rows expire. Called in each sweep, because the age
  // depends on the configuration.
  using lifetime_getter = std::function<microseconds()>;

  key_sweeper(traffic_thread& thread,
              store::table_client& table,
              milliseconds interval,
              lifetime_getter key_lifetime);

  // Starts the sweeps; the first one begins after one interval.
  void Start();

 private:
  using row_result = result<std::optional<store::row>>;

  void ListIndexRows();
  void OnListed(const result<std::vector<std::string>>& index_keys);
  void SweepNextIndexRow();
  void OnIndexRow(const std::string& index_key, const row_result& found);
  void ReadNextKey();
  void OnKeyRow(const std::string& key, const row_result& found);
  void DeleteRows();
  void ScheduleSweep();

  traffic_thread& thread_;
  store::table_client& table_;
  const milliseconds interval_;
  const lifetime_getter key_lifetime_;
  std::vector<std::string> index_keys_;  // Not swept yet, oldest last.
  std::vector<std::string> keys_;  // Of the current index row, not read yet.
  std::vector<store::row_write> deletes_;
};

}  // namespace egretrack::entry

#endif  // EGRETRACK_ENTRY_KEY_SWEEPER_H_
