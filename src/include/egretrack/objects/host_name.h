#ifndef EGRETRACK_OBJECTS_HOST_NAME_H_
#define EGRETRACK_OBJECTS_HOST_NAME_H_

#include <string>
#include <string_view>

namespace egretrack::objects {

// Removes the port and converts to lower case. Two hosts are the same if their
// canonical forms are equal.
std::string CanonicalHost(std::string_view host);

}  // namespace egretrack::objects

#endif  // EGRETRACK_OBJECTS_HOST_NAME_H_
