#include "scheduler/route_table.h"

#include <algorithm>

namespace egretrack::scheduler {
namespace {

// Removes the port and converts to lower case.
std::string CanonicalHost(std::string_view host) {
  std::string name(host.substr(0, host.find(':')));
  std::ranges::transform(name, name.begin(), [](char c) {
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
  });
  return name;
}

}  // namespace

route_table::route_table(const objects::object_set& set) {
  for (const objects::request_kind& kind : set.kinds) {
    if (!kind.path_prefix.empty())
      kinds_[CanonicalHost(kind.host)].push_back(&kind);
  }
  for (auto& [host, kinds] : kinds_) {
    std::ranges::stable_sort(kinds, [](const auto* a, const auto* b) {
      return a->path_prefix.size() > b->path_prefix.size();
    });
  }
}

std::optional<route_match> route_table::Find(std::string_view host,
                                             std::string_view path) const {
  const auto found = kinds_.find(CanonicalHost(host));
  if (found == kinds_.end())
    return std::nullopt;
  for (const objects::request_kind* kind : found->second) {
    if (path.starts_with(kind->path_prefix))
      return route_match{kind, path.substr(kind->path_prefix.size())};
  }
  return std::nullopt;
}

}  // namespace egretrack::scheduler
