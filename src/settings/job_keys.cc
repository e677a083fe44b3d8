#include <array>

#include "settings/key_rules.h"

namespace egretrack::settings {
namespace {

using keys::custom_key;
using keys::fault_list;
using keys::key_errc;
using keys::key_rule;
using keys::number_range;
using keys::string_rule;

constexpr number_range kStoreTimeoutMs{20, 60000};
constexpr number_range kPort{1, 65535};
// Range of the limits set by the deployment, each in the unit at the end of its
// name; 0 means no limit.
constexpr number_range kDeploymentLimit{0, 3600000};

void ReadPort(const toml::node& node,
              std::string_view key,
              job_agent_settings& object,
              fault_list& faults) {
  const auto port = keys::ReadInteger(node, key, kPort, faults);
  if (port)
    object.entry_port = static_cast<std::uint16_t>(*port);
}

std::string FormatPort(const job_agent_settings& object) {
  return keys::FormatNumber(std::int64_t{object.entry_port});
}

template <typename Settings>
key_rule<Settings> DeploymentLimitRule(std::string_view name,
                                       double Settings::*member) {
  return {.name = name, .target = member, .range = kDeploymentLimit};
}

template <typename Settings>
key_rule<Settings> MemoryRule() {
  return {.name = "memory_mb",
          .target = &Settings::memory_mb,
          .range = {64, 1048576}};
}

template <typename Settings>
key_rule<Settings> DescriptorsRule() {
  return {
      .name = "max_fds", .target = &Settings::max_fds, .range = {300, 1048576}};
}

}  // namespace

std::span<const key_rule<job_entry_settings>> JobEntryKeys() {
  using s = job_entry_settings;
  using rule = key_rule<s>;
  static const std::array kKeys{
      NameRule("id", &s::id),
      NameRule("failure_domain", &s::failure_domain),
      AddressRule("jobs", &s::jobs, kListenAddress),
      AddressRule("readiness", &s::readiness, kListenAddress),
      AddressRule("agents", &s::agents, kListenAddress),
      AddressRule("internal", &s::internal, kListenAddress),
      AddressRule("store", &s::store, kRemoteAddress),
      rule{.name = "advertised",
           .target = &s::advertised,
           .allowed = kRemoteAddress},
      rule{.name = "seeds", .target = &s::seeds, .allowed = kRemoteAddress},
      MailboxCapacityRule<s>(),
      rule{.name = "connections",
           .target = &s::connections,
           .range = {1, 65535}},
      rule{.name = "max_jobs", .target = &s::max_jobs, .range = {1, 1000000}},
      rule{.name = "store_timeout_ms",
           .target = &s::store_timeout,
           .range = kStoreTimeoutMs},
      rule{.name = "store_watch_ms",
           .target = &s::store_watch,
           .range = {100, 30000}},
      rule{.name = "drain_grace_ms",
           .target = &s::drain_grace,
           .range = {0, 60000}},
      rule{.name = "drain_bound_ms",
           .target = &s::drain_bound,
           .range = {0, 60000}},
      rule{.name = "drain_end_ms",
           .target = &s::drain_end,
           .range = {0, 120000}},
      DeploymentLimitRule("resubmit_after_ms", &s::resubmit_after_ms),
      DeploymentLimitRule("stop_grace_s", &s::stop_grace_s),
      rule{.name = "far_run_time_factor",
           .target = &s::far_run_time_factor,
           .range = {1, 100}},
      PortsFileRule<s>(),
      LogRule<s>(),
      MemoryRule<s>(),
      DescriptorsRule<s>(),
  };
  return kKeys;
}

std::span<const key_rule<job_agent_settings>> JobAgentKeys() {
  using s = job_agent_settings;
  using rule = key_rule<s>;
  static const std::array kKeys{
      NameRule("id", &s::id),
      NameRule("failure_domain", &s::failure_domain),
      AddressRule("reports", &s::reports, kListenAddress),
      AddressRule("internal", &s::internal, kListenAddress),
      AddressRule("store", &s::store, kRemoteAddress),
      rule{.name = "seeds", .target = &s::seeds, .allowed = kRemoteAddress},
      rule{.name = "entry_port",
           .target = custom_key<s>{&ReadPort, &FormatPort},
           .required = true},
      MailboxCapacityRule<s>(),
      rule{.name = "store_timeout_ms",
           .target = &s::store_timeout,
           .range = kStoreTimeoutMs},
      rule{.name = "entry_silence_ms",
           .target = &s::entry_silence,
           .range = {300, 60000}},
      rule{.name = "lease_ms", .target = &s::lease, .range = {300, 60000}},
      rule{.name = "renew_interval_ms",
           .target = &s::renew_interval,
           .range = {20, 2000}},
      rule{.name = "drain_bound_ms",
           .target = &s::drain_bound,
           .range = {0, 60000}},
      DeploymentLimitRule("longest_lease_ms", &s::longest_lease_ms),
      DeploymentLimitRule("resubmit_after_ms", &s::resubmit_after_ms),
      DeploymentLimitRule("stop_grace_s", &s::stop_grace_s),
      PortsFileRule<s>(),
      LogRule<s>(),
      MemoryRule<s>(),
      DescriptorsRule<s>(),
  };
  return kKeys;
}

}  // namespace egretrack::settings
