#ifndef EGRETRACK_NET_HTTP_CONVERT_H_
#define EGRETRACK_NET_HTTP_CONVERT_H_

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "egretrack/net/http.h"

// Conversions between the messages of the public header and those of Beast.
namespace egretrack::net {

using beast_request =
    boost::beast::http::request<boost::beast::http::string_body>;
using beast_response =
    boost::beast::http::response<boost::beast::http::string_body>;

struct response_format {
  unsigned version = 11;
  bool keep_alive = true;
  bool omit_body = false;  // For a response to HEAD.
};

http_request FromBeast(beast_request&& message);
http_response FromBeast(beast_response&& message);
beast_request ToBeast(http_request&& message, const tcp_address& address);
beast_response ToBeast(http_response&& message, const response_format& format);

}  // namespace egretrack::net

#endif  // EGRETRACK_NET_HTTP_CONVERT_H_
