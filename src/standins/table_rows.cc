#include "standins/table_rows.h"

#include <algorithm>

namespace egretrack::standins {

std::optional<store::row> table_rows::Read(std::string_view table,
                                           std::string_view key) const {
  const std::lock_guard lock(mutex_);
  const store::row* const found = Find(table, key);
  return found ? std::optional(*found) : std::nullopt;
}

std::optional<std::vector<std::uint64_t>> table_rows::Write(
    std::span<const store::row_write> writes) {
  const std::lock_guard lock(mutex_);
  const bool conditions_hold =
      std::ranges::all_of(writes, [this](const store::row_write& write) {
        const store::row* const found = Find(write.table, write.key);
        return (found ? found->etag : 0) == write.expected;
      });
  if (!conditions_hold)
    return std::nullopt;
  std::vector<std::uint64_t> etags;
  for (const store::row_write& write : writes)
    etags.push_back(Apply(write));
  return etags;
}

std::vector<std::string> table_rows::List(std::string_view table,
                                          std::string_view after,
                                          std::size_t limit) const {
  const std::lock_guard lock(mutex_);
  std::vector<std::string> keys;
  const auto found = tables_.find(table);
  if (found == tables_.end())
    return keys;
  const auto& rows = found->second;
  for (auto row = rows.upper_bound(after);
       row != rows.end() && keys.size() < limit; ++row) {
    keys.push_back(row->first);
  }
  return keys;
}

const store::row* table_rows::Find(std::string_view table,
                                   std::string_view key) const {
  const auto rows = tables_.find(table);
  if (rows == tables_.end())
    return nullptr;
  const auto found = rows->second.find(key);
  return found == rows->second.end() ? nullptr : &found->second;
}

std::uint64_t table_rows::Apply(const store::row_write& write) {
  row_map& rows = tables_[write.table];
  if (!write.value) {
    rows.erase(write.key);
    return 0;
  }
  rows[write.key] = {++last_etag_, *write.value};
  return last_etag_;
}

}  // namespace egretrack::standins
