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

// Compares a page of the documentation with the tables in the code.
namespace egretrack::keys {

// Lines of the section that starts with `heading` which describe a key.
inline std::vector<std::string> PageRows(const std::string& page,
                                         std::string_view heading) {
  std::istringstream lines(page);
  std::vector<std::string> rows;
  bool inside = false;
  for (std::string line; std::getline(lines, line);) {
    if (line.starts_with('#'))
      inside = line == heading;
    else if (inside && line.starts_with("| `"))
      rows.push_back(line);
  }
  return rows;
}

template <typename Object>
std::string RangeText(const key_rule<Object>& rule) {
  if (rule.text.accepts != nullptr)
    return std::string(rule.text.wanted);
  if (std::holds_alternative<bool Object::*>(rule.target))
    return "true, false";
  return FormatNumber(rule.range.low) + " to " + FormatNumber(rule.range.high);
}

template <typename Object>
std::string UnitText(const key_rule<Object>& rule) {
  if (std::holds_alternative<milliseconds Object::*>(rule.target))
    return "ms";
  return std::holds_alternative<seconds Object::*>(rule.target) ? "s" : "-";
}

// How the row of a key must begin: name, default, unit, range. A key with a
// reader of its own is described freely.
template <typename Object>
std::string WantedRow(const key_rule<Object>& rule) {
  std::string row = "| `" + std::string(rule.name) + "` | ";
  if (std::holds_alternative<custom_key<Object>>(rule.target))
    return row;
  row += rule.required ? "required" : "`" + PrintKey(rule, Object{}) + "`";
  return row + " | " + UnitText(rule) + " | " + RangeText(rule) + " | ";
}

// What the section lacks or has too much; empty when it agrees.
template <typename Object>
std::string PageFaults(const std::string& page,
                       std::string_view heading,
                       std::span<const key_rule<Object>> rules) {
  std::vector<std::string> rows = PageRows(page, heading);
  std::string faults;
  for (const auto& rule : rules) {
    const std::string wanted = WantedRow(rule);
    const auto row = std::find_if(
        rows.begin(), rows.end(),
        [&](const std::string& r) { return r.starts_with(wanted); });
    if (row == rows.end())
      faults += "missing: " + wanted + "\n";
    else
      rows.erase(row);
  }
  for (const std::string& row : rows)
    faults += "not in the code: " + row + "\n";
  return faults;
}

}  // namespace egretrack::keys

#endif  // EGRETRACK_SRC_TOML_TESTS_KEY_PAGE_H_
