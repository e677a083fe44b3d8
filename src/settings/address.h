#ifndef EGRETRACK_SRC_SETTINGS_ADDRESS_H_
#define EGRETRACK_SRC_SETTINGS_ADDRESS_H_

#include <string_view>

namespace egretrack::settings {

// "ip:port" or "[ip6]:port"; port 0 lets the system choose.
bool IsListenAddress(std::string_view text);
bool IsLoopbackListenAddress(std::string_view text);
// As above with a port of 1 or more.
bool IsRemoteAddress(std::string_view text);

}  // namespace egretrack::settings

#endif  // EGRETRACK_SRC_SETTINGS_ADDRESS_H_
