#ifndef EGRETRACK_ENTRY_SETTINGS_CONVERSION_H_
#define EGRETRACK_ENTRY_SETTINGS_CONVERSION_H_

#include <vector>

#include "egretrack/base/result.h"
#include "egretrack/decision/entry_core.h"
#include "egretrack/net/http.h"
#include "egretrack/settings/settings.h"
#include "entry/forwarder.h"

namespace egretrack::entry {

// The addresses in the settings of an entry.
struct entry_addresses {
  net::tcp_address http;
  net::tcp_address agents;
  net::tcp_address table;
  peer_addresses peers;
};

// Errors: errc::kInvalidArgument for a malformed address.
result<entry_addresses> ParseAddresses(const settings::entry_settings& from);

std::vector<net::tcp_address> PeerList(const peer_addresses& peers);

decision::entry_options MakeCoreOptions(const settings::entry_settings& from,
                                        incarnation own_incarnation);

}  // namespace egretrack::entry

#endif  // EGRETRACK_ENTRY_SETTINGS_CONVERSION_H_
