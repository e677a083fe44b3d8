#ifndef EGRETRACK_SRC_SETTINGS_KEY_RULES_H_
#define EGRETRACK_SRC_SETTINGS_KEY_RULES_H_

#include <string>
#include <string_view>

#include "settings/address.h"
#include "settings/keys.h"

// Rules that the tables of several roles share.
namespace egretrack::settings {

inline constexpr keys::text_rule kListenAddress{
    keys::key_errc::kInvalidAddress, &IsListenAddress,
    "an IP address and port, as in 10.0.0.1:80"};
inline constexpr keys::text_rule kRemoteAddress{
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
std::string PrintLog(const Settings& /*object*/) {
  return "[log]";
}

template <typename Settings>
keys::key_rule<Settings> NameRule(std::string_view name,
                                  std::string Settings::*member) {
  return {.name = name,
          .target = member,
          .text = keys::kNameRule,
          .required = true};
}

template <typename Settings>
keys::key_rule<Settings> AddressRule(std::string_view name,
                                     std::string Settings::*member,
                                     const keys::text_rule& rule) {
  return {.name = name, .target = member, .text = rule, .required = true};
}

template <typename Settings>
keys::key_rule<Settings> MailboxRule() {
  return {.name = "mailbox_capacity",
          .target = &Settings::mailbox_capacity,
          .range = {64, 1048576}};
}

template <typename Settings>
keys::key_rule<Settings> PortsFileRule() {
  return {.name = "ports_file",
          .target = &Settings::ports_file,
          .text = keys::kAnyText};
}

template <typename Settings>
keys::key_rule<Settings> LogRule() {
  return {.name = "log",
          .target = keys::custom_key<Settings>{&ReadLog<Settings>,
                                               &PrintLog<Settings>}};
}

}  // namespace egretrack::settings

#endif  // EGRETRACK_SRC_SETTINGS_KEY_RULES_H_
