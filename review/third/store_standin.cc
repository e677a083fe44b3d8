#include "store_standin.h"

#include <cstdint>
#include <vector>

namespace review {
namespace {

namespace json = boost::json;

std::string EncodeBase64(const std::string& bytes) {
  static constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t at = 0; at < bytes.size(); at += 3) {
    std::uint32_t group = 0;
    for (std::size_t i = 0; i < 3; ++i) {
      group <<= 8;
      if (at + i < bytes.size())
        group |= static_cast<unsigned char>(bytes[at + i]);
    }
    for (std::size_t i = 0; i < 4; ++i) {
      const bool padding = at + i > bytes.size();
      text += padding ? '=' : kDigits[(group >> (18 - 6 * i)) & 63];
    }
  }
  return text;
}

std::string Text(const json::object& from, const char* name) {
  const auto* value = from.if_contains(name);
  return value != nullptr && value->is_string()
             ? std::string(value->as_string())
             : "";
}

}  // namespace

store_standin::store_standin(const address& at, record& log)
    : log_(log),
      server_(at, [this](const request& asked) { return Handle(asked); }) {}

void store_standin::WriteOperatorRow(const std::string& key,
                                     const std::string& value) {
  const std::lock_guard lock(mutex_);
  Put({"op", key}, EncodeBase64(value), false);
  log_.Write("operator writes op/" + key + " " + value);
}

void store_standin::Put(const row_key& key,
                        const std::string& value,
                        bool removed) {
  rows_[key] = {value, ++version_, removed};
  changed_.notify_all();
}

std::optional<response> store_standin::Handle(const request& asked) {
  if (asked.Path() == "/rows-tx")
    return Transaction(asked);
  if (asked.Path() == "/rows-get")
    return Read(asked);
  if (asked.Path() == "/rows-feed")
    return Feed(asked);
  return response{404, "{}"};
}

json::object store_standin::Encode(const row_key& key, const row& from) {
  json::object encoded{{"table", key.first},
                       {"part", ""},
                       {"key", key.second},
                       {"value", from.value},
                       {"ver", from.version}};
  if (from.removed)
    encoded["tombstone"] = true;
  return encoded;
}

response store_standin::Page(const json::array& rows) const {
  const auto now =
      std::chrono::duration_cast<milliseconds>(steady::now() - start_);
  return {200, json::serialize(json::object{{"rows", rows},
                                            {"ver", version_},
                                            {"more_pages", false},
                                            {"now_ms", now.count()}})};
}

response store_standin::Transaction(const request& asked) {
  const json::object body = json::parse(asked.body).as_object();
  const std::lock_guard lock(mutex_);
  json::array current;
  bool holds = true;
  const auto list = [&body](const char* name) {
    const auto* found = body.if_contains(name);
    return found != nullptr ? found->as_array() : json::array();
  };
  for (const json::value& each : list("expected_revision")) {
    const row_key key{Text(each.as_object(), "table"),
                      Text(each.as_object(), "key")};
    const auto found = rows_.find(key);
    const bool exists = found != rows_.end() && !found->second.removed;
    const std::uint64_t version = exists ? found->second.version : 0;
    holds = holds &&
            each.as_object().at("ver").to_number<std::uint64_t>() == version;
    if (exists)
      current.push_back(Encode(key, found->second));
  }
  if (!holds) {
    response conflict = Page(current);
    conflict.status = 412;
    return conflict;
  }
  for (const json::value& each : list("puts")) {
    const json::object& put = each.as_object();
    if (Text(put, "table") == "op" || Text(put, "table") == "servers")
      return {403, "{}"};
    Put({Text(put, "table"), Text(put, "key")}, Text(put, "value"), false);
  }
  for (const json::value& each : list("remove")) {
    const json::object& removed = each.as_object();
    Put({Text(removed, "table"), Text(removed, "key")}, "", true);
  }
  return Page({});
}

response store_standin::Read(const request& asked) {
  const std::string from = asked.Query("from");
  const std::lock_guard lock(mutex_);
  json::array rows;
  for (const auto& [key, each] : rows_) {
    if (key.first == asked.Query("table") && key.second >= from &&
        !each.removed) {
      rows.push_back(Encode(key, each));
    }
  }
  return Page(rows);
}

response store_standin::Feed(const request& asked) {
  const std::uint64_t after = std::stoull(asked.Query("after"));
  const auto until =
      steady::now() + milliseconds(std::stol(asked.Query("wait_ms")));
  std::unique_lock lock(mutex_);
  for (;;) {
    std::map<std::uint64_t, json::object> ordered;  // By version.
    for (const auto& [key, each] : rows_) {
      if (key.first == asked.Query("table") && each.version > after)
        ordered[each.version] = Encode(key, each);
    }
    json::array rows;
    for (const auto& [version, each] : ordered)
      rows.push_back(each);
    if (!rows.empty() || steady::now() >= until)
      return Page(rows);
    changed_.wait_until(lock, until);
  }
}

}  // namespace review
