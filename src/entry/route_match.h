#ifndef EGRETRACK_ENTRY_ROUTE_MATCH_H_
#define EGRETRACK_ENTRY_ROUTE_MATCH_H_

#include <optional>
#include <string_view>

namespace egretrack::entry {

// Matches `path` against `pattern`, whose placeholder "{}", if any, stands for
// one path segment. Returns that segment (empty for a pattern without
// placeholder), or nullopt if the path does not match.
std::optional<std::string_view> MatchPath(std::string_view pattern,
                                          std::string_view path);

}  // namespace egretrack::entry

#endif  // EGRETRACK_ENTRY_ROUTE_MATCH_H_
