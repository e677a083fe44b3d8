#ifndef EGRETRACK_SCHEDULER_ROUTE_TABLE_H_
#define EGRETRACK_SCHEDULER_ROUTE_TABLE_H_

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "egretrack/objects/configuration.h"

namespace egretrack::scheduler {

struct route_match {
  const objects::request_kind* kind = nullptr;
  std::string_view remaining_path;  // After the kind's path prefix.
};

// Maps the host and the path of a request to a request kind: among the kinds of
// the host, the one with the longest matching path prefix. The object set must
// outlive the table.
class route_table {
 public:
  route_table() = default;
  explicit route_table(const objects::object_set& set);

  // Returns std::nullopt if no kind matches. `remaining_path` is a view of
  // `path`.
  std::optional<route_match> Find(std::string_view host,
                                  std::string_view path) const;

 private:
  // Keyed by host; each list is sorted by decreasing length of the prefix.
  std::unordered_map<std::string, std::vector<const objects::request_kind*>>
      kinds_;
};

}  // namespace egretrack::scheduler

#endif  // EGRETRACK_SCHEDULER_ROUTE_TABLE_H_
