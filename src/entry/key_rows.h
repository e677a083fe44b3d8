#ifndef EGRETRACK_ENTRY_KEY_ROWS_H_
#define EGRETRACK_ENTRY_KEY_ROWS_H_

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "egretrack/base/time.h"

// Table rows that bind Idempotency-Keys to job ids. Each transaction that binds
// keys also writes one index row that lists these keys. The index is sorted by
// time, so that old rows are found without reading the whole table.
namespace egretrack::entry {

inline constexpr std::string_view kKeyTable = "idempotency_keys";
inline constexpr std::string_view kKeyIndexTable = "idempotency_index";

// Accepts 1 to 255 visible ASCII characters.
bool IsValidKey(std::string_view key);

// Key of an index row, which is unique and sorts by `created`.
std::string MakeIndexKey(wall_time created);
// Nothing if `index_key` is malformed.
std::optional<wall_time> ParseCreationTime(std::string_view index_key);

// The value of an index row: one key per line. Valid keys contain no line
// breaks.
std::string EncodeKeyList(std::span<const std::string> keys);
std::vector<std::string> DecodeKeyList(std::string_view text);

}  // namespace egretrack::entry

#endif  // EGRETRACK_ENTRY_KEY_ROWS_H_
