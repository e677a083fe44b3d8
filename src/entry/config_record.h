#ifndef EGRETRACK_ENTRY_CONFIG_RECORD_H_
#define EGRETRACK_ENTRY_CONFIG_RECORD_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "egretrack/base/result.h"
#include "egretrack/objects/check.h"

// JSON encoding of versions of the configuration, as stored in the table
// service and sent to HTTP clients and other entries.
namespace egretrack::entry {

inline constexpr std::string_view kConfigTable = "config";
inline constexpr std::string_view kVersionKey = "version";
inline constexpr std::string_view kHistoryTable = "config_history";

// Content of the version row, which holds the number of the current version,
// and of the history rows, which also hold the documents.
struct config_record {
  std::uint64_t version = 0;
  std::string publication_id;  // Chosen by the client that published it.
  std::string document;        // Empty in the version row.
};

std::string EncodeRecord(const config_record& record);
// Errors: errc::kParseFailed.
result<config_record> DecodeRecord(std::string_view text);

// Key of a row in the history table. The keys sort by version.
std::string HistoryKey(std::uint64_t version);

// The body of a response that lists versions.
std::string EncodeVersions(std::span<const std::string> history_keys);
// The body of a 422 response.
std::string EncodeFaults(std::span<const objects::config_fault> faults);
// The body of a 409 response. `changes` are the differences between the current
// version and the refused document.
std::string EncodeConflict(std::uint64_t version,
                           std::span<const objects::object_change> changes);

}  // namespace egretrack::entry

#endif  // EGRETRACK_ENTRY_CONFIG_RECORD_H_
