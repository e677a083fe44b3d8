#include "toml/key_table.h"

#include <array>
#include <charconv>

#include "egretrack/base/ids.h"

namespace egretrack::keys {
namespace {

// Bounded because entries send the document to every agent.
constexpr std::size_t kMaxDocumentBytes = 1U << 20U;
// Freeing the tables of a dotted key uses stack for each of its levels;
// 1,000,000 levels overflowed a stack of 8 MiB. A usual document has about one
// dot per object.
constexpr std::ptrdiff_t kMaxDots = 20000;

std::string Quote(std::string_view text) {
  return "'" + std::string(text) + "'";
}

bool CheckString(std::string_view text,
                 const string_rule& rule,
                 std::string_view key,
                 fault_list& faults) {
  if (rule.accepts(text))
    return true;
  faults.push_back({rule.code, std::string(key),
                    Quote(text) + " is not " + std::string(rule.description)});
  return false;
}

void AddWrongTypeFault(std::string_view key,
                       std::string_view expected,
                       fault_list& faults) {
  faults.push_back({key_errc::kWrongType, std::string(key),
                    "the value is not " + std::string(expected)});
}

void AddOutOfRangeFault(std::string_view key,
                        const std::string& value,
                        const number_range& range,
                        fault_list& faults) {
  faults.push_back({key_errc::kOutOfRange, std::string(key),
                    value + " is not in the range " + FormatNumber(range.low) +
                        " to " + FormatNumber(range.high)});
}

bool IsInRange(double value, const number_range& range) {
  // False for NaN.
  return value >= range.low && value <= range.high;
}

}  // namespace

constexpr string_rule kNameRule{key_errc::kInvalidName, &IsValidName,
                                "1 to 64 characters out of a-z, 0-9 and '-'"};
constexpr string_rule kAnyString{
    key_errc::kInvalidName, [](std::string_view) { return true; }, "a text"};

std::string JoinKey(std::string_view prefix, std::string_view name) {
  std::string key(prefix);
  if (!key.empty())
    key += '.';
  return key.append(name);
}

std::string FormatNumber(double value) {
  // The longest fixed form of a double has 309 digits before the decimal point.
  std::array<char, 800> digits{};
  const auto [end, code] =
      std::to_chars(digits.data(), digits.data() + digits.size(), value,
                    std::chars_format::fixed);
  return {digits.data(), end};
}

std::string FormatNumber(std::int64_t value) {
  return std::to_string(value);
}

void ReadValue(const toml::node& node,
               std::string_view key,
               const string_rule& rule,
               std::string& value,
               fault_list& faults) {
  const auto* text = node.as_string();
  if (text == nullptr)
    return AddWrongTypeFault(key, "a text", faults);
  if (CheckString(text->get(), rule, key, faults))
    value = text->get();
}

void ReadValue(const toml::node& node,
               std::string_view key,
               const string_rule& rule,
               std::vector<std::string>& value,
               fault_list& faults) {
  const auto* list = node.as_array();
  if (list == nullptr)
    return AddWrongTypeFault(key, "a list of texts", faults);
  std::vector<std::string> texts;
  for (const auto& element : *list) {
    const auto* text = element.as_string();
    if (text == nullptr)
      return AddWrongTypeFault(key, "a list of texts", faults);
    if (!CheckString(text->get(), rule, key, faults))
      continue;
    if (std::find(texts.begin(), texts.end(), text->get()) != texts.end()) {
      faults.push_back({key_errc::kDuplicate, std::string(key),
                        Quote(text->get()) + " is listed twice"});
      continue;
    }
    texts.push_back(text->get());
  }
  value = std::move(texts);
}

void ReadValue(const toml::node& node,
               std::string_view key,
               bool& value,
               fault_list& faults) {
  const auto* flag = node.as_boolean();
  if (flag == nullptr)
    return AddWrongTypeFault(key, "true or false", faults);
  value = flag->get();
}

void ReadValue(const toml::node& node,
               std::string_view key,
               const number_range& range,
               double& value,
               fault_list& faults) {
  if (!node.is_number())
    return AddWrongTypeFault(key, "a number", faults);
  const double number = node.value<double>().value_or(range.low - 1);
  if (!IsInRange(number, range))
    return AddOutOfRangeFault(key, FormatNumber(number), range, faults);
  value = number;
}

std::optional<std::int64_t> ReadInteger(const toml::node& node,
                                        std::string_view key,
                                        const number_range& range,
                                        fault_list& faults) {
  const auto* integer = node.as_integer();
  if (integer == nullptr) {
    AddWrongTypeFault(key, "an integer", faults);
    return std::nullopt;
  }
  const std::int64_t number = integer->get();
  if (!IsInRange(static_cast<double>(number), range)) {
    AddOutOfRangeFault(key, FormatNumber(number), range, faults);
    return std::nullopt;
  }
  return number;
}

std::string FormatValue(std::string_view value) {
  std::string text = "\"";
  text.append(value);
  text += '"';
  return text;
}

std::string FormatValue(std::span<const std::string> value) {
  std::string text = "[";
  for (const auto& element : value) {
    if (text.size() > 1)
      text += ", ";
    text += FormatValue(std::string_view(element));
  }
  return text + "]";
}

std::string FormatValue(bool value) {
  return value ? "true" : "false";
}

const toml::table* ExpectTable(const toml::node& node,
                               std::string_view key,
                               fault_list& faults) {
  const toml::table* table = node.as_table();
  if (table == nullptr)
    AddWrongTypeFault(key, "a table", faults);
  return table;
}

parsed_document ParseDocument(std::string_view document) {
  if (document.size() > kMaxDocumentBytes) {
    return {std::nullopt, "the document is longer than " +
                              std::to_string(kMaxDocumentBytes) + " bytes"};
  }
  if (std::count(document.begin(), document.end(), '.') > kMaxDots) {
    return {std::nullopt,
            "the document has more than " + std::to_string(kMaxDots) + " dots"};
  }
  try {
    return {toml::parse(document), ""};
  } catch (const toml::parse_error& error) {
    const auto& begin = error.source().begin;
    return {std::nullopt, "line " + std::to_string(begin.line) + ", column " +
                              std::to_string(begin.column) + ": " +
                              std::string(error.description())};
  }
}

}  // namespace egretrack::keys
