#include "egretrack/objects/check.h"

#include <algorithm>
#include <utility>

#include "egretrack/base/ids.h"
#include "objects/key_faults.h"
#include "objects/relations.h"
#include "objects/sections.h"

namespace egretrack::objects {
namespace {

class config_category final : public std::error_category {
 public:
  const char* name() const noexcept override { return "egretrack.objects"; }

  std::string message(int value) const override {
    switch (static_cast<config_errc>(value)) {
      case config_errc::kSyntax:
        return "not valid TOML";
      case config_errc::kUnknownKey:
        return "unknown key";
      case config_errc::kMissingKey:
        return "missing key";
      case config_errc::kWrongType:
        return "wrong type";
      case config_errc::kOutOfRange:
        return "out of range";
      case config_errc::kInvalidName:
        return "invalid name";
      case config_errc::kUnknownName:
        return "unknown name";
      case config_errc::kDuplicateTeam:
        return "duplicate team";
      case config_errc::kLimitCycle:
        return "cycle of limits";
      case config_errc::kShiftOverlap:
        return "overlapping shifts";
      case config_errc::kUnreachableLimit:
        return "limit that no worker can meet";
      case config_errc::kUnservedKind:
        return "request kind that no endpoint serves";
    }
    return "unknown error";
  }
};

template <typename Object>
void ReadObject(const object_section<Object>& section,
                std::string_view name,
                const toml::node& node,
                check_outcome& outcome) {
  const std::string qualified_name = section.QualifiedName(name);
  keys::fault_list faults;
  Object object;
  object.name = std::string(name);
  if (!IsValidName(name)) {
    faults.push_back(
        {keys::key_errc::kInvalidName, "",
         "the name is not " + std::string(keys::kNameRule.description)});
  }
  const toml::table* table = keys::ExpectTable(node, "", faults);
  if (table != nullptr) {
    keys::ReadTable(*table, section.rules, "", object, faults);
    (outcome.objects.*section.list).push_back(std::move(object));
  }
  AddKeyFaults(std::move(faults), qualified_name, outcome.faults);
}

template <typename Object>
void SortByName(std::vector<Object>& list) {
  std::sort(list.begin(), list.end(),
            [](const Object& a, const Object& b) { return a.name < b.name; });
}

template <typename Object>
void CheckObjectNames(const object_section<Object>& section,
                      const std::vector<Object>& list,
                      std::vector<config_fault>& faults) {
  const std::string* previous = nullptr;
  for (const Object& object : list) {
    if (!IsValidName(object.name)) {
      faults.push_back(
          {config_errc::kInvalidName, section.QualifiedName(object.name), "",
           "the name is not " + std::string(keys::kNameRule.description)});
    }
    if (previous != nullptr && *previous == object.name) {
      faults.push_back({config_errc::kInvalidName,
                        section.QualifiedName(object.name), "",
                        "the name is used twice"});
    }
    previous = &object.name;
  }
}

template <typename Object>
void ReadSection(const object_section<Object>& section,
                 const toml::table& document,
                 check_outcome& outcome) {
  const toml::node* node = document.get(section.name);
  if (node == nullptr)
    return;
  keys::fault_list faults;
  const toml::table* table = keys::ExpectTable(*node, "", faults);
  AddKeyFaults(std::move(faults), section.name, outcome.faults);
  if (table == nullptr)
    return;
  for (const auto& [name, object] : *table)
    ReadObject(section, name.str(), object, outcome);
  SortByName(outcome.objects.*section.list);
}

void CheckSectionNames(const toml::table& document,
                       std::vector<config_fault>& faults) {
  for (const auto& [name, node] : document) {
    bool known = false;
    ForEachSection([&known, &name = name](const auto& section) {
      known = known || section.name == name.str();
    });
    if (!known) {
      faults.push_back({config_errc::kUnknownKey, "", std::string(name.str()),
                        "no such kind of object"});
    }
  }
}

}  // namespace

std::error_code make_error_code(config_errc code) {
  static const config_category kCategory;
  return {static_cast<int>(code), kCategory};
}

std::string config_fault::ToString() const {
  std::string text = object;
  if (!key.empty())
    text += (text.empty() ? "" : ": ") + key;
  return text.empty() ? reason : text + ": " + reason;
}

check_outcome CheckDocument(std::string_view document) {
  check_outcome outcome;
  const keys::parsed_document parsed = keys::ParseDocument(document);
  if (!parsed.table) {
    outcome.faults.push_back({config_errc::kSyntax, "", "", parsed.reason});
    return outcome;
  }
  CheckSectionNames(*parsed.table, outcome.faults);
  ForEachSection([&](const auto& section) {
    ReadSection(section, *parsed.table, outcome);
  });
  CheckRelations(outcome.objects, outcome.faults);
  return outcome;
}

std::vector<config_fault> CheckObjectSet(object_set& set) {
  std::vector<config_fault> faults;
  ForEachSection([&](const auto& section) {
    SortByName(set.*section.list);
    CheckObjectNames(section, set.*section.list, faults);
  });
  CheckRelations(set, faults);
  return faults;
}

result<configuration_ptr> LoadConfiguration(std::uint64_t version,
                                            std::string_view document) {
  check_outcome outcome = CheckDocument(document);
  if (!outcome.faults.empty()) {
    const config_fault& first = outcome.faults.front();
    return MakeError(first.code, first.ToString());
  }
  return std::make_shared<const configuration>(configuration{
      version, std::string(document), std::move(outcome.objects)});
}

}  // namespace egretrack::objects
