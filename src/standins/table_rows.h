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

// In-memory tables whose rows carry a version (etag). Thread-safe.
class table_rows {
 public:
  std::optional<store::row> Read(std::string_view table,
                                 std::string_view key) const;

  // Applies all writes atomically. Returns the new version of each row (0 for a
  // deleted row), or nothing if a row does not have its expected version.
  std::optional<std::vector<std::uint64_t>> Write(
      std::span<const store::row_write> writes);

  // Returns at most `limit` keys greater than `after`, in ascending order.
  std::vector<std::string> List(std::string_view table,
                                std::string_view after,
                                std::size_t limit) const;

 private:
  using row_map = std::map<std::string, store::row, std::less<>>;

  const store::row* Find(std::string_view table, std::string_view key) const;
  std::uint64_t Apply(const store::row_write& write);

  mutable std::mutex mutex_;
  std::map<std::string, row_map, std::less<>> tables_;
  // Versions are never reused, not even after a row was deleted.
  std::uint64_t last_etag_ = 0;
};

}  // namespace egretrack::standins

#endif  // EGRETRACK_STANDINS_TABLE_ROWS_H_
