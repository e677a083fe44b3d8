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
  std::string_view rest;  // Of the path, after the kind's prefix.
};

// Finds the request kind of a request that names none: by its host, and among
// the kinds of the host by the longest prefix of its path. The objects outlive
// the table.
class route_table {
 public:
  route_table() = default;
  explicit route_table(const objects::object_set& set);

  // Nothing when no kind is selected. `rest` views `path`.
  std::optional<route_match> Find(std::string_view host,
                                  std::string_view path) const;

 private:
  // By host; each list by falling length of the prefix.
  std::unordered_map<std::string, std::vector<const objects::request_kind*>>
      kinds_;
};

}  // namespace egretrack::scheduler

#endif  // EGRETRACK_SCHEDULER_ROUTE_TABLE_H_
