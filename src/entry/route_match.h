#ifndef EGRETRACK_ENTRY_ROUTE_MATCH_H_
#define EGRETRACK_ENTRY_ROUTE_MATCH_H_

#include <optional>
#include <string_view>

namespace egretrack::entry {

// The part of `path` that stands for "{}" in `pattern` (empty when there is
// none), or nothing when the path does not match.
std::optional<std::string_view> MatchPath(std::string_view pattern,
                                          std::string_view path);

}  // namespace egretrack::entry

#endif  // EGRETRACK_ENTRY_ROUTE_MATCH_H_
