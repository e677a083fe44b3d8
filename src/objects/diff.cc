#include <algorithm>
#include <utility>

#include "egretrack/objects/check.h"
#include "objects/sections.h"

namespace egretrack::objects {
namespace {

template <typename Object>
void DiffKeys(const section<Object>& kind,
              const Object& before,
              const Object& after,
              std::vector<object_change>& changes) {
  for (const auto& rule : kind.rules) {
    std::string old_value = keys::PrintKey(rule, before);
    std::string new_value = keys::PrintKey(rule, after);
    if (old_value != new_value) {
      changes.push_back({change_kind::kChanged, kind.Place(after.name),
                         std::string(rule.name), std::move(old_value),
                         std::move(new_value)});
    }
  }
}

// Walks both sorted lists side by side.
template <typename Object>
void DiffSection(const section<Object>& kind,
                 const object_set& before,
                 const object_set& after,
                 std::vector<object_change>& changes) {
  const auto& old_list = before.*kind.list;
  const auto& new_list = after.*kind.list;
  auto old_object = old_list.begin();
  auto new_object = new_list.begin();
  while (old_object != old_list.end() || new_object != new_list.end()) {
    const bool only_old =
        new_object == new_list.end() ||
        (old_object != old_list.end() && old_object->name < new_object->name);
    const bool only_new = !only_old && (old_object == old_list.end() ||
                                        new_object->name < old_object->name);
    if (only_old) {
      changes.push_back(
          {change_kind::kRemoved, kind.Place(old_object->name), "", "", ""});
    } else if (only_new) {
      changes.push_back(
          {change_kind::kAdded, kind.Place(new_object->name), "", "", ""});
    } else {
      DiffKeys(kind, *old_object, *new_object, changes);
    }
    if (!only_new)
      ++old_object;
    if (!only_old)
      ++new_object;
  }
}

}  // namespace

std::vector<object_change> Diff(const object_set& before,
                                const object_set& after) {
  std::vector<object_change> changes;
  ForEachSection(
      [&](const auto& kind) { DiffSection(kind, before, after, changes); });
  return changes;
}

}  // namespace egretrack::objects
