#ifndef EGRETRACK_ENTRY_KEY_SWEEPER_H_
#define EGRETRACK_ENTRY_KEY_SWEEPER_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "egretrack/store/table_client.h"
#include "entry/traffic_thread.h"

namespace egretrack::entry {

// Deletes the rows of Idempotency-Keys that are old enough, one transaction
// for the keys that were bound together.
class key_sweeper {
 public:
  // Age that rows must have; asked at each pass, because it depends on the
  // configuration.
  using lifetime = std::function<microseconds()>;

  key_sweeper(traffic_thread& thread,
              store::table_client& table,
              milliseconds interval,
              lifetime keep);

  // Sweeps from now on.
  void Start();

 private:
  using read_row = result<std::optional<store::row>>;

  void List();
  void OnListed(const result<std::vector<std::string>>& index_keys);
  void SweepNext();
  void OnIndexRow(const std::string& index_key, const read_row& found);
  void ReadNextKey();
  void OnKeyRow(const std::string& key, const read_row& found);
  void Delete();
  void SweepLater();

  traffic_thread& thread_;
  store::table_client& table_;
  const milliseconds interval_;
  const lifetime keep_;
  std::vector<std::string> index_keys_;  // Still to sweep, oldest last.
  std::vector<std::string> keys_;        // Of the current index row.
  std::vector<store::row_write> deletes_;
};

}  // namespace egretrack::entry

#endif  // EGRETRACK_ENTRY_KEY_SWEEPER_H_
