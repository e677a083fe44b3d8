#include "entry/settings_conversion.h"

#include <array>
#include <string_view>

namespace egretrack::entry {
namespace {

template <typename Policy>
struct policy_name {
  std::string_view name;
  Policy policy;
};

constexpr std::array kRoutings = {
    policy_name<decision::routing_policy>{"credits",
                                          decision::routing_policy::kCredits},
    policy_name<decision::routing_policy>{
        "round-robin", decision::routing_policy::kRoundRobin},
    policy_name<decision::routing_policy>{
        "least-outstanding", decision::routing_policy::kLeastOutstanding},
};

constexpr std::array kOrderings = {
    policy_name<decision::ordering_policy>{
        "classes", decision::ordering_policy::kDeadlineWithClasses},
    policy_name<decision::ordering_policy>{
        "fifo", decision::ordering_policy::kFirstInFirstOut},
};

// Unknown names do not occur, because the settings were validated before.
template <typename Table>
auto FindPolicy(const Table& table, std::string_view name) {
  for (const auto& named_policy : table) {
    if (named_policy.name == name)
      return named_policy.policy;
  }
  return table.front().policy;
}

struct address_field {
  std::string settings::entry_settings::*text;
  net::tcp_address entry_addresses::*address;
};

constexpr std::array kAddressFields = {
    address_field{&settings::entry_settings::http, &entry_addresses::http},
    address_field{&settings::entry_settings::agents, &entry_addresses::agents},
    address_field{&settings::entry_settings::table, &entry_addresses::table},
};

}  // namespace

result<entry_addresses> ParseAddresses(const settings::entry_settings& from) {
  entry_addresses addresses;
  for (const address_field& field : kAddressFields) {
    auto parsed = net::tcp_address::Parse(from.*field.text);
    if (!parsed)
      return parsed.error();
    addresses.*field.address = std::move(*parsed);
  }
  for (const settings::peer& peer : from.peers) {
    auto parsed = net::tcp_address::Parse(peer.http);
    if (!parsed)
      return parsed.error();
    addresses.peers[peer.id] = std::move(*parsed);
  }
  return addresses;
}

std::vector<net::tcp_address> PeerList(const peer_addresses& peers) {
  std::vector<net::tcp_address> list;
  for (const auto& [id, address] : peers)
    list.push_back(address);
  return list;
}

decision::entry_options MakeCoreOptions(const settings::entry_settings& from,
                                        incarnation own_incarnation) {
  decision::entry_options options;
  options.entry = from.id;
  options.entry_incarnation = own_incarnation;
  for (const settings::peer& peer : from.peers)
    options.peers.push_back(peer.id);
  options.routing = FindPolicy(kRoutings, from.routing);
  options.ordering = FindPolicy(kOrderings, from.ordering);
  options.admission = from.admission;
  options.ejection = from.ejection;
  options.random_seed =
      from.random_seed != 0 ? from.random_seed : RandomNumber();
  options.retention = from.retention;
  options.max_job_records = from.max_job_records;
  options.max_queued_tasks = from.max_queued_tasks;
  options.start_by = from.start_by;
  options.drain_grace = from.drain_grace;
  options.retry_budget = from.retry_budget;
  options.long_share = from.long_share;
  return options;
}

}  // namespace egretrack::entry
