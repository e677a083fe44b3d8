#ifndef EGRETRACK_STORE_TABLE_CODEC_H_
#define EGRETRACK_STORE_TABLE_CODEC_H_

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "egretrack/base/result.h"
#include "egretrack/store/table_client.h"

// Encodes and decodes bodies and headers of the table service. Values may hold
// any bytes, so strings in JSON need not be valid UTF-8.
namespace egretrack::store {

std::string EncodeTransaction(std::span<const row_write> writes);
// Errors: errc::kParseFailed.
result<std::vector<row_write>> DecodeTransaction(std::string_view body);

std::string EncodeKeys(std::span<const std::string> keys);
// Errors: errc::kParseFailed.
result<std::vector<std::string>> DecodeKeys(std::string_view body);

// An ETag header holds the number in quotation marks.
std::string EncodeEtag(std::uint64_t etag);
std::optional<std::uint64_t> DecodeEtag(std::string_view text);

}  // namespace egretrack::store

#endif  // EGRETRACK_STORE_TABLE_CODEC_H_
