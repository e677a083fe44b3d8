#include "settings/address.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>
#include <cstdint>
#include <optional>
#include <string>

namespace egretrack::settings {
namespace {

struct address_parts {
  std::string host;
  int family = AF_INET;
  std::uint16_t port = 0;
};

bool IsIpAddress(const std::string& host, int family) {
  std::array<unsigned char, sizeof(in6_addr)> bytes{};
  return inet_pton(family, host.c_str(), bytes.data()) == 1;
}

std::optional<std::uint16_t> ParsePort(std::string_view text) {
  std::uint16_t port = 0;
  const char* end = text.data() + text.size();
  const auto [stop, code] = std::from_chars(text.data(), end, port);
  if (code != std::errc() || stop != end)
    return std::nullopt;
  return port;
}

std::optional<address_parts> ParseAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos)
    return std::nullopt;
  const auto port = ParsePort(text.substr(colon + 1));
  if (!port)
    return std::nullopt;
  std::string_view host = text.substr(0, colon);
  int family = AF_INET;
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
    family = AF_INET6;
  }
  address_parts parts{std::string(host), family, *port};
  if (!IsIpAddress(parts.host, family))
    return std::nullopt;
  return parts;
}

}  // namespace

bool IsListenAddress(std::string_view text) {
  return ParseAddress(text).has_value();
}

bool IsLoopbackListenAddress(std::string_view text) {
  const auto parts = ParseAddress(text);
  return parts && (parts->host == "::1" || parts->host.starts_with("127."));
}

bool IsRemoteAddress(std::string_view text) {
  const auto parts = ParseAddress(text);
  return parts && parts->port != 0;
}

}  // namespace egretrack::settings
