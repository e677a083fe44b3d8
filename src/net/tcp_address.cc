#include <charconv>

#include <boost/asio/ip/address.hpp>

#include "egretrack/net/http.h"

namespace egretrack::net {
namespace {

bool IsIpAddress(const std::string& text) {
  boost::system::error_code failure;
  boost::asio::ip::make_address(text, failure);
  return !failure;
}

bool ParsePort(std::string_view text, std::uint16_t& port) {
  const char* const last = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), last, port);
  return parsed.ec == std::errc() && parsed.ptr == last;
}

}  // namespace

result<tcp_address> tcp_address::Parse(std::string_view text) {
  const error failure = MakeError(errc::kInvalidArgument,
                                  "address \"" + std::string(text) + "\"");
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos)
    return failure;
  std::string_view host = text.substr(0, colon);
  const bool bracketed = host.starts_with('[') && host.ends_with(']');
  if (bracketed)
    host = host.substr(1, host.size() - 2);
  if (bracketed != (host.find(':') != std::string_view::npos))
    return failure;
  tcp_address address{std::string(host), 0};
  if (!IsIpAddress(address.host) ||
      !ParsePort(text.substr(colon + 1), address.port))
    return failure;
  return address;
}

result<tcp_address> tcp_address::ParseRemote(std::string_view text) {
  auto address = Parse(text);
  if (address && address->port == 0)
    return MakeError(errc::kInvalidArgument,
                     "port of address \"" + std::string(text) + "\"");
  return address;
}

std::string tcp_address::ToString() const {
  const bool bracketed = host.find(':') != std::string::npos;
  const std::string shown_host = bracketed ? "[" + host + "]" : host;
  return shown_host + ":" + std::to_string(port);
}

}  // namespace egretrack::net
