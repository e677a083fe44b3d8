#ifndef EGRETRACK_ENTRY_CONFIG_RECORD_H_
#define EGRETRACK_ENTRY_CONFIG_RECORD_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "egretrack/base/result.h"
#include "egretrack/objects/check.h"

// How versions of the configuration are stored in the table service and given
// to peers, as JSON.
namespace egretrack::entry {

inline constexpr std::string_view kConfigTable = "config";
inline constexpr std::string_view kVersionKey = "version";
inline constexpr std::string_view kHistoryTable = "config_history";

// Content of the version row, which names the version in force, and, with the
// document, of a row of the history.
struct config_record {
  std::uint64_t version = 0;
  std::string publication;  // Chosen by the publisher.
  std::string document;     // Empty in the version row.
};

std::string EncodeRecord(const config_record& record);
// Errors: errc::kParseFailed.
result<config_record> DecodeRecord(std::string_view text);

// Sorts by version.
std::string HistoryKey(std::uint64_t version);

std::string EncodeVersions(std::span<const std::string> history_keys);
// The body of a 422 answer.
std::string EncodeFaults(std::span<const objects::config_fault> faults);
// The body of a 409 answer. `changes` lead from the version in force to the
// refused document.
std::string EncodeConflict(std::uint64_t version,
                           std::span<const objects::object_change> changes);

}  // namespace egretrack::entry

#endif  // EGRETRACK_ENTRY_CONFIG_RECORD_H_
