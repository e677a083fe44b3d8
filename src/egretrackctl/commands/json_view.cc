#include "egretrackctl/commands/json_view.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace egretrack::ctl {
namespace {

constexpr const char* kMissing = "-";

std::string ToText(const boost::json::value& value) {
  if (const auto* text = value.if_string())
    return std::string(text->data(), text->size());
  return value.is_null() ? kMissing : boost::json::serialize(value);
}

const boost::json::value* FindField(const boost::json::value& object,
                                    std::string_view key) {
  const auto* fields = object.if_object();
  if (fields == nullptr)
    return nullptr;
  return fields->if_contains(boost::json::string_view(key.data(), key.size()));
}

}  // namespace

result<boost::json::value> ParseJson(std::string_view text) {
  boost::system::error_code code;
  auto value = boost::json::parse(
      boost::json::string_view(text.data(), text.size()), code);
  if (code)
    return MakeError(errc::kParseFailed, "JSON: " + code.message());
  return value;
}

std::string TextAt(const boost::json::value& object, std::string_view key) {
  const auto* value = FindField(object, key);
  return value == nullptr ? kMissing : ToText(*value);
}

const boost::json::array& ArrayAt(const boost::json::value& object,
                                  std::string_view key) {
  static const boost::json::array kEmpty;
  const auto* value = FindField(object, key);
  if (value == nullptr || !value->is_array())
    return kEmpty;
  return value->get_array();
}

text_table MakeTable(std::span<const json_column> columns,
                     const boost::json::array& rows) {
  std::vector<std::string> titles;
  for (const json_column& column : columns)
    titles.emplace_back(column.title);
  text_table table(std::move(titles));
  for (const auto& row : rows) {
    std::vector<std::string> cells;
    for (const json_column& column : columns)
      cells.push_back(TextAt(row, column.key));
    table.AddRow(std::move(cells));
  }
  return table;
}

}  // namespace egretrack::ctl
