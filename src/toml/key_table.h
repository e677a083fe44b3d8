#ifndef EGRETRACK_SRC_TOML_KEY_TABLE_H_
#define EGRETRACK_SRC_TOML_KEY_TABLE_H_

#include <algorithm>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <type_traits>
#include <variant>
#include <vector>

#include "egretrack/base/time.h"
#include "toml/toml.h"

// Reads TOML tables into structs by means of tables of member pointers. Private
// to the libraries that read TOML; each maps key_errc to its own error codes.
namespace egretrack::keys {

enum class key_errc : std::uint8_t {
  kUnknownKey,
  kMissingKey,
  kWrongType,
  kOutOfRange,
  kInvalidName,
  kInvalidAddress,
  kDuplicate,
};

struct key_fault {
  key_errc code = key_errc::kUnknownKey;
  std::string key;  // Joined with the prefix that ReadTable() was given.
  std::string reason;
};
using fault_list = std::vector<key_fault>;

// A closed range.
struct number_range {
  double low = 0;
  double high = 0;
};

// Defines which strings a key accepts.
struct string_rule {
  key_errc code = key_errc::kInvalidName;
  bool (*accepts)(std::string_view text) = nullptr;
  std::string_view description;  // Completes "'x' is not ...".
};

// A key whose value needs its own functions to read and format it.
template <typename Object>
struct custom_key {
  void (*read)(const toml::node& node,
               std::string_view key,
               Object& object,
               fault_list& faults) = nullptr;
  std::string (*format)(const Object& object) = nullptr;
};

template <typename Object>
using key_target = std::variant<std::string Object::*,
                                std::vector<std::string> Object::*,
                                bool Object::*,
                                double Object::*,
                                std::uint32_t Object::*,
                                std::uint64_t Object::*,
                                milliseconds Object::*,
                                seconds Object::*,
                                custom_key<Object>>;

template <typename Object>
struct key_rule {
  std::string_view name;
  key_target<Object> target = {};
  number_range range = {};   // For numbers.
  string_rule allowed = {};  // For strings and the elements of lists.
  bool required = false;
};

// Returns "entry.id" for "entry" and "id", and "id" for an empty prefix.
std::string JoinKey(std::string_view prefix, std::string_view name);
// Returns the shortest decimal form without an exponent that parses to the same
// value.
std::string FormatNumber(double value);
std::string FormatNumber(std::int64_t value);

void ReadValue(const toml::node& node,
               std::string_view key,
               const string_rule& rule,
               std::string& value,
               fault_list& faults);
void ReadValue(const toml::node& node,
               std::string_view key,
               const string_rule& rule,
               std::vector<std::string>& value,
               fault_list& faults);
void ReadValue(const toml::node& node,
               std::string_view key,
               bool& value,
               fault_list& faults);
void ReadValue(const toml::node& node,
               std::string_view key,
               const number_range& range,
               double& value,
               fault_list& faults);
std::optional<std::int64_t> ReadInteger(const toml::node& node,
                                        std::string_view key,
                                        const number_range& range,
                                        fault_list& faults);

std::string FormatValue(std::string_view value);
std::string FormatValue(std::span<const std::string> value);
std::string FormatValue(bool value);

namespace internal {

template <typename Object>
struct key_reader {
  const key_rule<Object>& rule;
  const toml::node& node;
  const std::string& key;
  Object& object;
  fault_list& faults;

  template <typename Value>
  void operator()(Value Object::*member) const {
    if constexpr (std::is_same_v<Value, bool>) {
      ReadValue(node, key, object.*member, faults);
    } else if constexpr (std::is_same_v<Value, double>) {
      ReadValue(node, key, rule.range, object.*member, faults);
    } else if constexpr (std::is_same_v<Value, std::string> ||
                         std::is_same_v<Value, std::vector<std::string>>) {
      ReadValue(node, key, rule.allowed, object.*member, faults);
    } else {
      const auto number = ReadInteger(node, key, rule.range, faults);
      if (number)
        object.*member = static_cast<Value>(*number);
    }
  }

  void operator()(const custom_key<Object>& custom) const {
    custom.read(node, key, object, faults);
  }
};

template <typename Object>
struct key_formatter {
  const Object& object;

  template <typename Value>
  std::string operator()(Value Object::*member) const {
    const Value& value = object.*member;
    if constexpr (std::is_same_v<Value, double>) {
      return FormatNumber(value);
    } else if constexpr (std::is_same_v<Value, milliseconds> ||
                         std::is_same_v<Value, seconds>) {
      return FormatNumber(static_cast<std::int64_t>(value.count()));
    } else if constexpr (std::is_integral_v<Value> &&
                         !std::is_same_v<Value, bool>) {
      return FormatNumber(static_cast<std::int64_t>(value));
    } else {
      return FormatValue(value);
    }
  }

  std::string operator()(const custom_key<Object>& custom) const {
    return custom.format(object);
  }
};

}  // namespace internal

// Returns the value of one key as TOML.
template <typename Object>
std::string FormatKeyValue(const key_rule<Object>& rule, const Object& object) {
  return std::visit(internal::key_formatter<Object>{object}, rule.target);
}

// Reads every key of `table` into `object` and adds all faults to `faults`.
template <typename Object>
void ReadTable(const toml::table& table,
               std::span<const key_rule<Object>> rules,
               std::string_view prefix,
               Object& object,
               fault_list& faults) {
  for (const auto& [name, node] : table) {
    const std::string key = JoinKey(prefix, name.str());
    const auto rule = std::find_if(
        rules.begin(), rules.end(),
        [&name = name](const auto& r) { return r.name == name.str(); });
    if (rule == rules.end()) {
      faults.push_back({key_errc::kUnknownKey, key, "no such key"});
      continue;
    }
    std::visit(internal::key_reader<Object>{*rule, node, key, object, faults},
               rule->target);
  }
  for (const auto& rule : rules) {
    if (rule.required && !table.contains(rule.name)) {
      faults.push_back({key_errc::kMissingKey, JoinKey(prefix, rule.name),
                        "required key is missing"});
    }
  }
}

// Returns the node as a table, or adds a fault and returns nullptr.
const toml::table* ExpectTable(const toml::node& node,
                               std::string_view key,
                               fault_list& faults);

struct parsed_document {
  std::optional<toml::table> table;
  std::string reason;  // Why there is no table; syntax errors have a position.
};
parsed_document ParseDocument(std::string_view document);

// Accepts what IsValidName() accepts.
extern const string_rule kNameRule;
// Accepts every string.
extern const string_rule kAnyString;

}  // namespace egretrack::keys

#endif  // EGRETRACK_SRC_TOML_KEY_TABLE_H_
