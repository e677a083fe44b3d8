#include "settings/keys.h"

#include <algorithm>
#include <array>

#include "settings/address.h"
#include "settings/key_rules.h"

namespace egretrack::settings {
namespace {

using keys::custom_key;
using keys::fault_list;
using keys::key_errc;
using keys::key_rule;
using keys::number_range;
using keys::string_rule;

constexpr number_range kTimeoutMs{100, 60000};
constexpr number_range kCapacity{1, 10000000};
// 2^53 - 1: a number_range is made of doubles, which represent integers exactly
// up to this value.
constexpr number_range kRandomSeed{0, 9007199254740991};

template <std::size_t N>
bool IsOneOf(const std::array<std::string_view, N>& choices,
             std::string_view text) {
  return std::find(choices.begin(), choices.end(), text) != choices.end();
}

constexpr string_rule kLoopbackAddress{
    key_errc::kInvalidAddress, &IsLoopbackListenAddress,
    "a loopback address and port, as in 127.0.0.1:80"};
constexpr string_rule kRouting{
    key_errc::kOutOfRange,
    [](std::string_view text) {
      return IsOneOf<3>({"credits", "round-robin", "least-outstanding"}, text);
    },
    "credits, round-robin or least-outstanding"};
constexpr string_rule kOrdering{key_errc::kOutOfRange,
                                [](std::string_view text) {
                                  return IsOneOf<2>({"classes", "fifo"}, text);
                                },
                                "classes or fifo"};
constexpr string_rule kLogLevel{
    key_errc::kOutOfRange,
    [](std::string_view text) {
      return IsOneOf<6>({"trace", "debug", "info", "warn", "error", "off"},
                        text);
    },
    "trace, debug, info, warn, error or off"};

void ReadPeers(const toml::node& node,
               std::string_view key,
               entry_settings& object,
               fault_list& faults) {
  const auto* list = node.as_array();
  if (list == nullptr) {
    faults.push_back({key_errc::kWrongType, std::string(key),
                      "the value is not a list of tables"});
    return;
  }
  for (const auto& element : *list) {
    const std::string element_key =
        std::string(key) + "[" + std::to_string(object.peers.size()) + "]";
    peer& new_peer = object.peers.emplace_back();
    const auto* table = keys::ExpectTable(element, element_key, faults);
    if (table != nullptr)
      keys::ReadTable(*table, PeerKeys(), element_key, new_peer, faults);
  }
}

std::string FormatPeers(const entry_settings& object) {
  return std::to_string(object.peers.size()) + " peers";
}

}  // namespace

std::span<const key_rule<log_settings>> LogKeys() {
  using s = log_settings;
  static const std::array kKeys{
      key_rule<s>{.name = "level", .target = &s::level, .allowed = kLogLevel},
      key_rule<s>{
          .name = "file", .target = &s::file, .allowed = keys::kAnyString},
  };
  return kKeys;
}

std::span<const key_rule<peer>> PeerKeys() {
  using s = peer;
  static const std::array kKeys{
      NameRule("id", &s::id),
      AddressRule("http", &s::http, kRemoteAddress),
  };
  return kKeys;
}

std::span<const key_rule<entry_settings>> EntryKeys() {
  using s = entry_settings;
  using rule = key_rule<s>;
  static const std::array kKeys{
      NameRule("id", &s::id),
      NameRule("failure_domain", &s::failure_domain),
      AddressRule("http", &s::http, kListenAddress),
      AddressRule("agents", &s::agents, kListenAddress),
      AddressRule("table", &s::table, kRemoteAddress),
      rule{.name = "peers", .target = custom_key<s>{&ReadPeers, &FormatPeers}},
      rule{.name = "routing", .target = &s::routing, .allowed = kRouting},
      rule{.name = "ordering", .target = &s::ordering, .allowed = kOrdering},
      rule{.name = "admission", .target = &s::admission},
      rule{.name = "ejection", .target = &s::ejection},
      rule{.name = "long_share", .target = &s::long_share, .range = {0, 1}},
      rule{.name = "retry_budget", .target = &s::retry_budget, .range = {0, 1}},
      rule{.name = "random_seed",
           .target = &s::random_seed,
           .range = kRandomSeed},
      rule{
          .name = "http_threads", .target = &s::http_threads, .range = {1, 64}},
      MailboxCapacityRule<s>(),
      rule{.name = "max_queued_tasks",
           .target = &s::max_queued_tasks,
           .range = kCapacity},
      rule{.name = "max_job_records",
           .target = &s::max_job_records,
           .range = kCapacity},
      rule{.name = "retention_s", .target = &s::retention, .range = {1, 3600}},
      rule{.name = "start_by_ms", .target = &s::start_by, .range = kTimeoutMs},
      rule{.name = "drain_grace_ms",
           .target = &s::drain_grace,
           .range = {0, 60000}},
      rule{.name = "config_poll_ms",
           .target = &s::config_poll,
           .range = {50, 60000}},
      rule{.name = "table_timeout_ms",
           .target = &s::table_timeout,
           .range = {10, 60000}},
      PortsFileRule<s>(),
      LogRule<s>(),
  };
  return kKeys;
}

std::span<const key_rule<agent_settings>> AgentKeys() {
  using s = agent_settings;
  using rule = key_rule<s>;
  static const std::array kKeys{
      NameRule("id", &s::id),
      NameRule("failure_domain", &s::failure_domain),
      AddressRule("http", &s::http, kLoopbackAddress),
      rule{.name = "entries",
           .target = &s::entries,
           .allowed = kRemoteAddress,
           .required = true},
      rule{.name = "slots", .target = &s::slots, .range = {1, 4096}},
      rule{.name = "connections",
           .target = &s::connections,
           .range = {1, 65535}},
      rule{.name = "overcommit", .target = &s::overcommit, .range = {0, 2}},
      rule{
          .name = "credit_floor", .target = &s::credit_floor, .range = {0, 64}},
      rule{.name = "push", .target = &s::push},
      MailboxCapacityRule<s>(),
      rule{
          .name = "max_records", .target = &s::max_records, .range = kCapacity},
      rule{.name = "retention_s", .target = &s::retention, .range = {1, 3600}},
      rule{.name = "heartbeat_interval_ms",
           .target = &s::heartbeat_interval,
           .range = {20, 10000}},
      rule{.name = "reconnect_after_ms",
           .target = &s::reconnect_after,
           .range = kTimeoutMs},
      rule{.name = "credit_lease_ms",
           .target = &s::credit_lease,
           .range = kTimeoutMs},
      rule{.name = "announcement_lease_ms",
           .target = &s::announcement_lease,
           .range = kTimeoutMs},
      rule{.name = "task_timeout_ms",
           .target = &s::task_timeout,
           .range = {1, 3600000}},
      PortsFileRule<s>(),
      LogRule<s>(),
  };
  return kKeys;
}

}  // namespace egretrack::settings
