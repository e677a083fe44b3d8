#ifndef EGRETRACK_NET_PERCENT_H_
#define EGRETRACK_NET_PERCENT_H_

#include <string>
#include <string_view>

namespace egretrack::net {

// Encodes all but the unreserved characters of RFC 3986 for use in a path
// segment or a query value.
std::string PercentEncode(std::string_view text);

// Invalid escapes are kept as they are.
std::string PercentDecode(std::string_view text);

}  // namespace egretrack::net

#endif  // EGRETRACK_NET_PERCENT_H_
