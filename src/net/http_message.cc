#include <algorithm>
#include <span>

#include "egretrack/net/http.h"
#include "egretrack/net/percent.h"

namespace egretrack::net {
namespace {

char ToLower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

bool EqualsIgnoringCase(std::string_view a, std::string_view b) {
  return std::ranges::equal(
      a, b, [](char x, char y) { return ToLower(x) == ToLower(y); });
}

std::string_view FindHeader(std::span<const header> headers,
                            std::string_view name) {
  for (const header& field : headers) {
    if (EqualsIgnoringCase(field.name, name))
      return field.value;
  }
  return {};
}

}  // namespace

std::string_view http_request::path() const {
  const std::string_view whole = target;
  return whole.substr(0, whole.find('?'));
}

std::string http_request::Query(std::string_view name) const {
  std::string_view rest = target;
  rest.remove_prefix(std::min(rest.size(), path().size() + 1));
  while (!rest.empty()) {
    const std::string_view pair = rest.substr(0, rest.find('&'));
    const std::size_t equals = std::min(pair.find('='), pair.size());
    if (pair.substr(0, equals) == name)
      return PercentDecode(pair.substr(std::min(equals + 1, pair.size())));
    rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
  }
  return {};
}

std::string_view http_request::Header(std::string_view name) const {
  return FindHeader(headers, name);
}

std::string_view http_response::Header(std::string_view name) const {
  return FindHeader(headers, name);
}

}  // namespace egretrack::net
