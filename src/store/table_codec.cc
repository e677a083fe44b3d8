#include "store/table_codec.h"

#include <charconv>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

namespace egretrack::store {
namespace {

namespace json = boost::json;

json::value Parse(std::string_view body, boost::system::error_code& failure) {
  json::parse_options options;
  options.allow_invalid_utf8 = true;
  return json::parse(json::string_view(body), failure, {}, options);
}

error Malformed(std::string_view detail) {
  return MakeError(errc::kParseFailed, detail);
}

json::object EncodeWrite(const row_write& write) {
  json::object step;
  step["op"] = write.value ? "put" : "delete";
  step["table"] = write.table;
  step["key"] = write.key;
  if (write.expected == 0) {
    step["if_none_match"] = "*";
  } else {
    step["if_match"] = write.expected;
  }
  if (write.value)
    step["value"] = *write.value;
  return step;
}

std::optional<std::string> GetString(const json::object& object,
                                     std::string_view key) {
  const json::value* const found = object.if_contains(json::string_view(key));
  const json::string* const text = found ? found->if_string() : nullptr;
  if (text == nullptr)
    return std::nullopt;
  return std::string(text->data(), text->size());
}

// Returns the ETag that a step expects, or 0 if the row must not exist. Returns
// nullopt if the step has no valid condition.
std::optional<std::uint64_t> GetExpected(const json::object& step) {
  if (GetString(step, "if_none_match") == "*")
    return 0;
  const json::value* const condition = step.if_contains("if_match");
  if (condition == nullptr)
    return std::nullopt;
  boost::system::error_code failure;
  const auto expected = condition->to_number<std::uint64_t>(failure);
  if (failure || expected == 0)
    return std::nullopt;
  return expected;
}

std::optional<row_write> DecodeWrite(const json::value& value) {
  const json::object* const step = value.if_object();
  if (step == nullptr)
    return std::nullopt;
  const auto operation = GetString(*step, "op");
  const auto table = GetString(*step, "table");
  const auto key = GetString(*step, "key");
  const auto expected = GetExpected(*step);
  auto content = GetString(*step, "value");
  const bool complete = table && key && expected &&
                        (operation == "put" || operation == "delete") &&
                        content.has_value() == (operation == "put");
  if (!complete)
    return std::nullopt;
  return row_write{*table, *key, *expected, std::move(content)};
}

}  // namespace

std::string EncodeTransaction(std::span<const row_write> writes) {
  json::array steps;
  for (const row_write& write : writes)
    steps.push_back(EncodeWrite(write));
  return json::serialize(steps);
}

result<std::vector<row_write>> DecodeTransaction(std::string_view body) {
  boost::system::error_code failure;
  const json::value parsed = Parse(body, failure);
  const json::array* const steps = failure ? nullptr : parsed.if_array();
  if (steps == nullptr)
    return Malformed("transaction");
  std::vector<row_write> writes;
  for (const json::value& step : *steps) {
    auto write = DecodeWrite(step);
    if (!write)
      return Malformed("step of a transaction");
    writes.push_back(std::move(*write));
  }
  return writes;
}

std::string EncodeKeys(std::span<const std::string> keys) {
  json::array list;
  for (const std::string& key : keys)
    list.emplace_back(key);
  return json::serialize(list);
}

result<std::vector<std::string>> DecodeKeys(std::string_view body) {
  boost::system::error_code failure;
  const json::value parsed = Parse(body, failure);
  const json::array* const list = failure ? nullptr : parsed.if_array();
  if (list == nullptr)
    return Malformed("list of keys");
  std::vector<std::string> keys;
  for (const json::value& key : *list) {
    if (!key.is_string())
      return Malformed("list of keys");
    keys.emplace_back(key.get_string().data(), key.get_string().size());
  }
  return keys;
}

std::string EncodeEtag(std::uint64_t etag) {
  return "\"" + std::to_string(etag) + "\"";
}

std::optional<std::uint64_t> DecodeEtag(std::string_view text) {
  const bool quoted =
      text.size() > 2 && text.starts_with('"') && text.ends_with('"');
  if (!quoted)
    return std::nullopt;
  const char* const last = text.data() + text.size() - 1;
  std::uint64_t etag = 0;
  const auto parsed = std::from_chars(text.data() + 1, last, etag);
  if (parsed.ec != std::errc() || parsed.ptr != last)
    return std::nullopt;
  return etag;
}

}  // namespace egretrack::store
