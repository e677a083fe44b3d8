#ifndef EGRETRACK_STANDINS_TABLE_ROWS_H_
#define EGRETRACK_STANDINS_TABLE_ROWS_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "egretrack/store/table_client.h"

namespace egretrack::standins {

// Rows with versions, in memory. Safe from any thread.
class table_rows {
 public:
  std::optional<store::row> Read(std::string_view table,
                                 std::string_view key) const;

  // Applies all writes or none. Returns the new version of each row (0 for a
  // deleted one), or nothing when a condition does not hold.
  std::optional<std::vector<std::uint64_t>> Write(
      std::span<const store::row_write> writes);

  std::vector<std::string> List(std::string_view table,
                                std::string_view after,
                                std::size_t limit) const;

 private:
  using table = std::map<std::string, store::row, std::less<>>;

  const store::row* Find(std::string_view table, std::string_view key) const;
  std::uint64_t Apply(const store::row_write& write);

  mutable std::mutex mutex_;
  std::map<std::string, table, std::less<>> tables_;
  std::uint64_t last_etag_ = 0;  // Never reused, also after a delete.
};

}  // namespace egretrack::standins

#endif  // EGRETRACK_STANDINS_TABLE_ROWS_H_
