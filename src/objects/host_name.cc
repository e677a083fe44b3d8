#include "egretrack/objects/host_name.h"

#include <algorithm>

namespace egretrack::objects {

std::string CanonicalHost(std::string_view host) {
  std::string name(host.substr(0, host.find(':')));
  std::ranges::transform(name, name.begin(), [](char c) {
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
  });
  return name;
}

}  // namespace egretrack::objects
