#include "objects/key_faults.h"

#include <array>
#include <string>
#include <utility>

namespace egretrack::objects {
namespace {

// Indexed by key_errc. Objects have no address keys, so kInvalidAddress does
// not occur.
constexpr std::array kErrorCodes{
    config_errc::kUnknownKey,  config_errc::kMissingKey,
    config_errc::kWrongType,   config_errc::kOutOfRange,
    config_errc::kInvalidName, config_errc::kInvalidName,
    config_errc::kInvalidName,
};

}  // namespace

void AddKeyFaults(keys::fault_list found,
                  std::string_view object,
                  std::vector<config_fault>& faults) {
  for (auto& fault : found) {
    faults.push_back({kErrorCodes[static_cast<std::size_t>(fault.code)],
                      std::string(object), std::move(fault.key),
                      std::move(fault.reason)});
  }
}

}  // namespace egretrack::objects
