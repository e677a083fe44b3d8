#ifndef EGRETRACK_SRC_SETTINGS_KEY_RULES_H_
#define EGRETRACK_SRC_SETTINGS_KEY_RULES_H_

#include <string>
#include <string_view>

#include "settings/address.h"
#include "settings/keys.h"

// Key rules that several roles use.
namespace egretrack::settings {

inline constexpr keys::string_rule kListenAddress{
    keys::key_errc::kInvalidAddress, &IsListenAddress,
    "an IP address and port, as in 10.0.0.1:80"};
inline constexpr keys::string_rule kRemoteAddress{
    keys::key_errc::kInvalidAddress, &IsRemoteAddress,
    "an IP address and a port of 1 or more, as in 10.0.0.1:80"};

template <typename Settings>
void ReadLog(const toml::node& node,
             std::string_view key,
             Settings& object,
             keys::fault_list& faults) {
  const auto* table = keys::ExpectTable(node, key, faults);
  if (table != nullptr)
    keys::ReadTable(*table, LogKeys(), key, object.log, faults);
}

template <typename Settings>
std::string FormatLog(const Settings& /*object*/) {
  return "[log]";
}

template <typename Settings>
keys::key_rule<Settings> NameRule(std::string_view name,
                                  std::string Settings::*member) {
  return {.name = name,
          .target = member,
          .allowed = keys::kNameRule,
          .required = true};
}

template <typename Settings>
keys::key_rule<Settings> AddressRule(std::string_view name,
                                     std::string Settings::*member,
                                     const keys::string_rule& rule) {
  return {.name = name, .target = member, .allowed = rule, .required = true};
}

template <typename Settings>
keys::key_rule<Settings> MailboxCapacityRule() {
  return {.name = "mailbox_capacity",
          .target = &Settings::mailbox_capacity,
          .range = {64, 1048576}};
}

template <typename Settings>
keys::key_rule<Settings> PortsFileRule() {
  return {.name = "ports_file",
          .target = &Settings::ports_file,
          .allowed = keys::kAnyString};
}

template <typename Settings>
keys::key_rule<Settings> LogRule() {
  return {.name = "log",
          .target = keys::custom_key<Settings>{&ReadLog<Settings>,
                                               &FormatLog<Settings>}};
}

}  // namespace egretrack::settings

#endif  // EGRETRACK_SRC_SETTINGS_KEY_RULES_H_
