#include "entry/route_match.h"

namespace egretrack::entry {
namespace {

constexpr std::string_view kHole = "{}";

}  // namespace

std::optional<std::string_view> MatchPath(std::string_view pattern,
                                          std::string_view path) {
  const std::size_t hole = pattern.find(kHole);
  if (hole == std::string_view::npos) {
    return pattern == path ? std::optional(std::string_view()) : std::nullopt;
  }
  const std::string_view before = pattern.substr(0, hole);
  const std::string_view after = pattern.substr(hole + kHole.size());
  const bool framed = path.size() > before.size() + after.size() &&
                      path.starts_with(before) && path.ends_with(after);
  if (!framed)
    return std::nullopt;
  path.remove_prefix(before.size());
  path.remove_suffix(after.size());
  if (path.find('/') != std::string_view::npos)
    return std::nullopt;
  return path;
}

}  // namespace egretrack::entry
