#ifndef EGRETRACK_SRC_TOML_TESTS_KEY_PAGE_H_
#define EGRETRACK_SRC_TOML_TESTS_KEY_PAGE_H_

#include <algorithm>
#include <span>
#include <sstream>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "toml/key_table.h"

// Test helpers that compare the key tables of a documentation page with those
// in the code.
namespace egretrack::keys {

// Returns the table rows that describe a key in the section under `heading`.
inline std::vector<std::string> FindKeyRows(const std::string& page,
                                            std::string_view heading) {
  std::istringstream lines(page);
  std::vector<std::string> rows;
  bool in_section = false;
  for (std::string line; std::getline(lines, line);) {
    if (line.starts_with('#'))
      in_section = line == heading;
    else if (in_section && line.starts_with("| `"))
      rows.push_back(line);
  }
  return rows;
}

template <typename Object>
std::string FormatRange(const key_rule<Object>& rule) {
  if (rule.allowed.accepts != nullptr)
    return std::string(rule.allowed.description);
  if (std::holds_alternative<bool Object::*>(rule.target))
    return "true, false";
  return FormatNumber(rule.range.low) + " to " + FormatNumber(rule.range.high);
}

template <typename Object>
std::string FormatUnit(const key_rule<Object>& rule) {
  if (std::holds_alternative<milliseconds Object::*>(rule.target))
    return "ms";
  return std::holds_alternative<seconds Object::*>(rule.target) ? "s" : "-";
}

// Returns how the row of a key must begin: name, default, unit, range. For a
// custom_key, only the name is compared.
template <typename Object>
std::string ExpectedRowPrefix(const key_rule<Object>& rule) {
  std::string row = "| `" + std::string(rule.name) + "` | ";
  if (std::holds_alternative<custom_key<Object>>(rule.target))
    return row;
  row +=
      rule.required ? "required" : "`" + FormatKeyValue(rule, Object{}) + "`";
  return row + " | " + FormatUnit(rule) + " | " + FormatRange(rule) + " | ";
}

// Returns the keys that the section lacks and the rows that have no key in the
// code; empty if the section matches.
template <typename Object>
std::string FindPageMismatches(const std::string& page,
                               std::string_view heading,
                               std::span<const key_rule<Object>> rules) {
  std::vector<std::string> rows = FindKeyRows(page, heading);
  std::string mismatches;
  for (const auto& rule : rules) {
    const std::string expected = ExpectedRowPrefix(rule);
    const auto row = std::find_if(
        rows.begin(), rows.end(),
        [&](const std::string& r) { return r.starts_with(expected); });
    if (row == rows.end())
      mismatches += "missing: " + expected + "\n";
    else
      rows.erase(row);
  }
  for (const std::string& row : rows)
    mismatches += "not in the code: " + row + "\n";
  return mismatches;
}

}  // namespace egretrack::keys

#endif  // EGRETRACK_SRC_TOML_TESTS_KEY_PAGE_H_
