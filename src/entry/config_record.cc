#include "entry/config_record.h"

#include <charconv>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include "entry/request_error.h"

namespace egretrack::entry {
namespace {

namespace json = boost::json;

constexpr std::size_t kVersionDigits = 20;

json::string_view ToJsonView(std::string_view text) {
  return {text.data(), text.size()};
}

std::string GetString(const json::object& object, std::string_view key) {
  const json::value* const found = object.if_contains(ToJsonView(key));
  const json::string* const text = found ? found->if_string() : nullptr;
  if (text == nullptr)
    return {};
  return {text->data(), text->size()};
}

std::string_view Name(objects::change_kind kind) {
  switch (kind) {
    case objects::change_kind::kAdded:
      return "added";
    case objects::change_kind::kRemoved:
      return "removed";
    case objects::change_kind::kChanged:
      return "changed";
  }
  return "";
}

json::object MakeErrorBody(request_errc code) {
  return {{"error", ToJsonView(entry::Name(code))},
          {"message", make_error_code(code).message()}};
}

json::object EncodeChange(const objects::object_change& change) {
  return {{"change", ToJsonView(Name(change.kind))},
          {"object", change.object},
          {"key", change.key},
          {"before", change.before},
          {"after", change.after}};
}

json::object EncodeFault(const objects::config_fault& fault) {
  return {{"object", fault.object},
          {"key", fault.key},
          {"code", fault.code.message()},
          {"reason", fault.reason},
          {"text", fault.ToString()}};
}

}  // namespace

std::string EncodeRecord(const config_record& record) {
  json::object fields = {{"version", record.version},
                         {"publication", record.publication_id}};
  if (!record.document.empty())
    fields["document"] = record.document;
  return json::serialize(fields);
}

result<config_record> DecodeRecord(std::string_view text) {
  boost::system::error_code failure;
  const json::value parsed = json::parse(ToJsonView(text), failure);
  const json::object* const fields = failure ? nullptr : parsed.if_object();
  const json::value* const version =
      fields ? fields->if_contains("version") : nullptr;
  if (version == nullptr)
    return egretrack::MakeError(
        errc::kParseFailed,
        "the configuration record is not a JSON object with a version");
  config_record record;
  record.version = version->to_number<std::uint64_t>(failure);
  if (failure || record.version == 0)
    return egretrack::MakeError(
        errc::kParseFailed,
        "the version of the configuration record is not a positive integer");
  record.publication_id = GetString(*fields, "publication");
  record.document = GetString(*fields, "document");
  return record;
}

std::string HistoryKey(std::uint64_t version) {
  const std::string digits = std::to_string(version);
  return std::string(kVersionDigits - digits.size(), '0') + digits;
}

std::string EncodeVersions(std::span<const std::string> history_keys) {
  json::array versions;
  for (const std::string& key : history_keys) {
    std::uint64_t version = 0;
    std::from_chars(key.data(), key.data() + key.size(), version);
    versions.emplace_back(version);
  }
  return json::serialize(json::object({{"versions", std::move(versions)}}));
}

std::string EncodeFaults(std::span<const objects::config_fault> faults) {
  json::object body = MakeErrorBody(request_errc::kInvalidConfiguration);
  json::array& list = body["faults"].emplace_array();
  for (const objects::config_fault& fault : faults)
    list.emplace_back(EncodeFault(fault));
  return json::serialize(body);
}

std::string EncodeConflict(std::uint64_t version,
                           std::span<const objects::object_change> changes) {
  json::object body = MakeErrorBody(request_errc::kConflict);
  body["version"] = version;
  json::array& list = body["changes"].emplace_array();
  for (const objects::object_change& change : changes)
    list.emplace_back(EncodeChange(change));
  return json::serialize(body);
}

}  // namespace egretrack::entry
