#ifndef EGRETRACK_NET_PERCENT_H_
#define EGRETRACK_NET_PERCENT_H_

#include <string>
#include <string_view>

namespace egretrack::net {

// Percent-encodes text for use in a path segment or a query value. Only the
// unreserved characters of RFC 3986 stay as they are.
std::string PercentEncode(std::string_view text);

// Decodes percent escapes. Invalid escapes are copied unchanged.
std::string PercentDecode(std::string_view text);

}  // namespace egretrack::net

#endif  // EGRETRACK_NET_PERCENT_H_
