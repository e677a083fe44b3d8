#include "net/http_convert.h"

#include <span>
#include <utility>

namespace egretrack::net {
namespace {

namespace http = boost::beast::http;

std::vector<header> FromFields(const http::fields& fields) {
  std::vector<header> headers;
  for (const auto& field : fields) {
    headers.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  }
  return headers;
}

void AddFields(std::span<const header> headers, http::fields& fields) {
  for (const header& field : headers)
    fields.insert(field.name, field.value);
}

}  // namespace

http_request FromBeast(beast_request&& message) {
  return {.method = std::string(message.method_string()),
          .target = std::string(message.target()),
          .headers = FromFields(message.base()),
          .body = std::move(message.body())};
}

http_response FromBeast(beast_response&& message) {
  return {.status = message.result_int(),
          .headers = FromFields(message.base()),
          .body = std::move(message.body())};
}

beast_request ToBeast(http_request&& message, const tcp_address& address) {
  beast_request request;
  request.version(11);
  request.method_string(message.method);
  request.target(message.target);
  request.set(http::field::host, address.ToString());
  AddFields(message.headers, request.base());
  request.body() = std::move(message.body);
  request.prepare_payload();
  return request;
}

beast_response ToBeast(http_response&& message, const response_format& format) {
  beast_response response;
  response.version(format.version);
  response.result(message.status);
  AddFields(message.headers, response.base());
  if (message.status < 200)
    return response;
  response.keep_alive(format.keep_alive);
  response.content_length(message.body.size());
  if (!format.omit_body)
    response.body() = std::move(message.body);
  return response;
}

}  // namespace egretrack::net
