#include <algorithm>
#include <utility>

#include "egretrack/objects/check.h"
#include "objects/sections.h"

namespace egretrack::objects {
namespace {

template <typename Object>
void DiffKeys(const object_section<Object>& section,
              const Object& before,
              const Object& after,
              std::vector<object_change>& changes) {
  for (const auto& rule : section.rules) {
    std::string old_value = keys::FormatKeyValue(rule, before);
    std::string new_value = keys::FormatKeyValue(rule, after);
    if (old_value != new_value) {
      changes.push_back(
          {change_kind::kChanged, section.QualifiedName(after.name),
           std::string(rule.name), std::move(old_value), std::move(new_value)});
    }
  }
}

// Merges the two lists, which are sorted by name.
template <typename Object>
void DiffSection(const object_section<Object>& section,
                 const object_set& before,
                 const object_set& after,
                 std::vector<object_change>& changes) {
  const auto& old_list = before.*section.list;
  const auto& new_list = after.*section.list;
  auto old_object = old_list.begin();
  auto new_object = new_list.begin();
  while (old_object != old_list.end() || new_object != new_list.end()) {
    const bool only_old =
        new_object == new_list.end() ||
        (old_object != old_list.end() && old_object->name < new_object->name);
    const bool only_new = !only_old && (old_object == old_list.end() ||
                                        new_object->name < old_object->name);
    if (only_old) {
      changes.push_back({change_kind::kRemoved,
                         section.QualifiedName(old_object->name), "", "", ""});
    } else if (only_new) {
      changes.push_back({change_kind::kAdded,
                         section.QualifiedName(new_object->name), "", "", ""});
    } else {
      DiffKeys(section, *old_object, *new_object, changes);
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
  ForEachSection([&](const auto& section) {
    DiffSection(section, before, after, changes);
  });
  return changes;
}

}  // namespace egretrack::objects
