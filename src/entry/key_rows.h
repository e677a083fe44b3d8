#ifndef EGRETRACK_ENTRY_KEY_ROWS_H_
#define EGRETRACK_ENTRY_KEY_ROWS_H_

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "egretrack/base/time.h"

// Rows that bind an Idempotency-Key to a job id. Each transaction that binds
// keys also writes one row to an index in order of time, which lists them, so
// that old rows are found without reading all.
namespace egretrack::entry {

inline constexpr std::string_view kKeyTable = "idempotency_keys";
inline constexpr std::string_view kKeyIndexTable = "idempotency_index";

// 1 to 255 visible ASCII characters.
bool IsValidKey(std::string_view key);

std::string MakeIndexKey(wall_time created);
std::optional<wall_time> ParseCreationTime(std::string_view index_key);

// Keys hold no line ends.
std::string EncodeKeyList(std::span<const std::string> keys);
std::vector<std::string> DecodeKeyList(std::string_view text);

}  // namespace egretrack::entry

#endif  // EGRETRACK_ENTRY_KEY_ROWS_H_
