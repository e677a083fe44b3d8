#ifndef REVIEW_THIRD_STORE_STANDIN_H_
#define REVIEW_THIRD_STORE_STANDIN_H_

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <utility>

#include <boost/json.hpp>

#include "http.h"
#include "record.h"

namespace review {

// The platform's metadata store: rows, transactions and the feed of changes.
class store_standin {
 public:
  store_standin(const address& at, record& log);

  // Writes `op/KEY` as the operator does.
  void WriteOperatorRow(const std::string& key, const std::string& value);

 private:
  struct row {
    std::string value;  // In base64.
    std::uint64_t version = 0;
    bool removed = false;
  };
  using row_key = std::pair<std::string, std::string>;  // Table and key.

  std::optional<response> Handle(const request& asked);
  response Transaction(const request& asked);
  response Read(const request& asked);
  response Feed(const request& asked);
  void Put(const row_key& key, const std::string& value, bool removed);
  response Page(const boost::json::array& rows) const;
  static boost::json::object Encode(const row_key& key, const row& from);

  record& log_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<row_key, row> rows_;
  std::uint64_t version_ = 1;
  const steady::time_point start_ = steady::now();
  http_server server_;  // Last, as its threads use the other members.
};

}  // namespace review

#endif  // REVIEW_THIRD_STORE_STANDIN_H_
