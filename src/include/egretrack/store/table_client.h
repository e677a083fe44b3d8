#ifndef EGRETRACK_STORE_TABLE_CLIENT_H_
#define EGRETRACK_STORE_TABLE_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "egretrack/base/result.h"
#include "egretrack/base/time.h"
#include "egretrack/net/http.h"

namespace egretrack::store {

struct row {
  std::uint64_t etag = 0;
  std::string value;
};

// One write of a transaction, on condition that the ETag of the row is
// `expected`; 0 means that the row must not exist.
struct row_write {
  std::string table;
  std::string key;
  std::uint64_t expected = 0;
  std::optional<std::string> value;  // Absent: deletes the row.
};

// Client of the platform's transactional table service. Callbacks run on a
// traffic thread, once each.
class table_client {
 public:
  using on_row = std::function<void(result<std::optional<row>>)>;
  using on_write = std::function<void(result<void>)>;

  static std::unique_ptr<table_client> Create(const net::tcp_address& service,
                                              milliseconds timeout);
  virtual ~table_client() = default;

  // Reads a row; passes nullopt for a row that does not exist.
  // Errors: errc::kUnavailable, errc::kTimeout.
  virtual void Read(std::string_view table,
                    std::string_view key,
                    on_row done) = 0;

  // Applies all writes or none. Errors: errc::kConflict if a condition does not
  // hold; errc::kInvalidArgument if the service rejected the transaction;
  // errc::kUnavailable if the request was certainly not sent;
  // errc::kOutcomeUnknown if the writes may have been applied.
  virtual void Write(std::vector<row_write> writes, on_write done) = 0;

  // Lists the keys of a table in order, at most `limit` of those after `after`.
  // Errors: errc::kUnavailable, errc::kTimeout, errc::kParseFailed.
  virtual void List(
      std::string_view table,
      std::string_view after,
      std::uint32_t limit,
      std::function<void(result<std::vector<std::string>>)> done) = 0;
};

}  // namespace egretrack::store

#endif  // EGRETRACK_STORE_TABLE_CLIENT_H_
