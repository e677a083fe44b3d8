#ifndef EGRETRACK_SRC_SETTINGS_ADDRESS_H_
#define EGRETRACK_SRC_SETTINGS_ADDRESS_H_

#include <string_view>

namespace egretrack::settings {

// True for "ip:port" and "[ip6]:port"; the system chooses the port if it is 0.
bool IsListenAddress(std::string_view text);
bool IsLoopbackListenAddress(std::string_view text);
// As IsListenAddress(), but the port must be 1 or more.
bool IsRemoteAddress(std::string_view text);

}  // namespace egretrack::settings

#endif  // EGRETRACK_SRC_SETTINGS_ADDRESS_H_
