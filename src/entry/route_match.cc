#include "entry/route_match.h"

namespace egretrack::entry {
namespace {

constexpr std::string_view kPlaceholder = "{}";

}  // namespace

std::optional<std::string_view> MatchPath(std::string_view pattern,
                                          std::string_view path) {
  const std::size_t placeholder = pattern.find(kPlaceholder);
  if (placeholder == std::string_view::npos) {
    return pattern == path ? std::optional(std::string_view()) : std::nullopt;
  }
  const std::string_view prefix = pattern.substr(0, placeholder);
  const std::string_view suffix =
      pattern.substr(placeholder + kPlaceholder.size());
  const bool matches = path.size() > prefix.size() + suffix.size() &&
                       path.starts_with(prefix) && path.ends_with(suffix);
  if (!matches)
    return std::nullopt;
  path.remove_prefix(prefix.size());
  path.remove_suffix(suffix.size());
  if (path.find('/') != std::string_view::npos)
    return std::nullopt;
  return path;
}

}  // namespace egretrack::entry
