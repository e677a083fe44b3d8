#include "scheduler/route_table.h"

#include <algorithm>

#include "egretrack/objects/host_name.h"

namespace egretrack::scheduler {

route_table::route_table(const objects::object_set& set) {
  for (const objects::request_kind& kind : set.kinds) {
    if (!kind.path_prefix.empty())
      kinds_[objects::CanonicalHost(kind.host)].push_back(&kind);
  }
  for (auto& [host, kinds] : kinds_) {
    std::ranges::stable_sort(kinds, [](const auto* a, const auto* b) {
      return a->path_prefix.size() > b->path_prefix.size();
    });
  }
}

std::optional<route_match> route_table::Find(std::string_view host,
                                             std::string_view path) const {
  const auto found = kinds_.find(objects::CanonicalHost(host));
  if (found == kinds_.end())
    return std::nullopt;
  for (const objects::request_kind* kind : found->second) {
    if (path.starts_with(kind->path_prefix))
      return route_match{kind, path.substr(kind->path_prefix.size())};
  }
  return std::nullopt;
}

}  // namespace egretrack::scheduler
